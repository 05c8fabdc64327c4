package standin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/settings"
)

// Checks that daemons accept the written bootstrap files and that no two of their addresses are equal.
func TestWriteDeployment(t *testing.T) {
	for name, entries := range map[string]int{"manizales": 9, "baling": 8} {
		dir := t.TempDir()
		d, err := NewDeployment(name, 77)
		assert.NilError(t, err)
		assert.Equal(t, len(d.Entries), entries)
		assert.NilError(t, WriteDeployment(d, dir))
		readBack, err := ReadDeployment(filepath.Join(dir, "deployment.json"))
		assert.NilError(t, err)
		assert.DeepEqual(t, readBack, d)

		seen := map[string]string{}
		for _, e := range d.Entries {
			for _, daemon := range []string{"entry", "sched"} {
				b, err := settings.LoadBootstrap(filepath.Join(dir, e.VM+"-"+daemon+".toml"))
				assert.NilError(t, err)
				assert.Equal(t, b.Platform.TableURL, "http://127.77.0.1:9001")
				for _, addr := range []string{b.CallerAddr, b.PollAddr, b.InnerAddr, b.AdminAddr} {
					if addr != "" {
						assert.Equal(t, seen[addr], "", addr)
						seen[addr] = e.VM
					}
				}
			}
		}
		processes, err := os.ReadFile(filepath.Join(dir, "processes.tsv"))
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(processes), "\n"), 1+3+2*entries)
	}
	_, err := NewDeployment("other", 77)
	assert.ErrorContains(t, err, "manizales or baling")
}
