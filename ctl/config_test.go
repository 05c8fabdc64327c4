package ctl

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
)

const (
	cleanConfig = `{"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/","service":"s"}],"services":[{"name":"s"}],
"tenants":[{"name":"kioscos","api_keys":["8350274196"],"weight":1}]}`
	usage = 2
)

func writeConfig(t *testing.T, value string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(value), 0o600))
	return file
}

// runConfigCheck runs the command and checks that it shows no key.
func runConfigCheck(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), append([]string{"currantctl", "config", "check"}, args...), &out, &errs, "test")
	assert.Assert(t, !strings.Contains(out.String()+errs.String(), "835027419"), "%s %s", out.String(), errs.String())
	return code, out.String(), errs.String()
}

// The exit code tells scripts whether a configuration would be rejected (2) or is doubtful (1), and the output says where.
func TestConfigCheckExitCodes(t *testing.T) {
	file := writeConfig(t, cleanConfig)
	code, stdout, stderr := runConfigCheck(t, file)
	assert.Equal(t, code, ExitDone)
	assert.Equal(t, stdout+stderr, "")

	file = writeConfig(t, strings.Replace(cleanConfig, `"weight":1`, `"weight":0`, 1))
	code, stdout, stderr = runConfigCheck(t, file)
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, stdout, file+":2:65: warning: tenants[0].weight: organisation \"kioscos\" has no share while all capacity is in use\n")
	assert.Equal(t, stderr, "currantctl: the configuration has 0 errors and 1 warnings\n")

	file = writeConfig(t, strings.NewReplacer(`"weight":1`, `"weight":-1`, `["8350274196"]`, "[]").Replace(cleanConfig))
	code, stdout, _ = runConfigCheck(t, file)
	assert.Equal(t, code, usage)
	assert.Equal(t, strings.Count(stdout, "\n"), 2, stdout)

	for name, args := range map[string][]string{
		"no file":         {},
		"missing file":    {filepath.Join(t.TempDir(), "none")},
		"both sources":    {"--store", "127.0.0.1:1", "--against", file, file},
		"no JSON":         {writeConfig(t, "{8350274196")},
		"no JSON, others": {"--against", writeConfig(t, cleanConfig), writeConfig(t, "{8350274196")},
	} {
		code, _, _ = runConfigCheck(t, args...)
		assert.Equal(t, code, usage, name)
	}
}

// Differences are shown from another file or from the stored configuration. They do not change the exit code, unless nodes would ignore the
// configuration for its version, or what to compare with can't be read.
func TestConfigCheckDifferences(t *testing.T) {
	newer := writeConfig(t, strings.NewReplacer(`"version":7`, `"version":8`, `"8350274196"`, `"8350274197"`).Replace(cleanConfig))
	s := emulator.NewStore()
	server := httptest.NewServer(platform.NewStoreServer(s))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	code, _, stderr := runConfigCheck(t, "--store", addr, newer)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stderr, "the store has no configuration"), stderr)

	s.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, []byte(cleanConfig))
	older := writeConfig(t, cleanConfig)
	for _, args := range [][]string{{"--store", addr}, {"--against", older}} {
		code, stdout, stderr := runConfigCheck(t, append(args, newer)...)
		assert.Equal(t, code, ExitDone, stderr)
		lines := strings.Split(strings.TrimSpace(stdout), "\n")
		assert.Equal(t, len(lines), 3, stdout)
		assert.Assert(t, strings.HasPrefix(lines[0], "2 differences from "), stdout)
		assert.DeepEqual(t, strings.Fields(lines[2]), []string{"version", "7", "->", "8"})

		code, stdout, _ = runConfigCheck(t, append(args, "--json", newer)...)
		assert.Equal(t, code, ExitDone)
		var report configReport
		assert.NilError(t, json.Unmarshal([]byte(stdout), &report))
		assert.Equal(t, len(report.Changes), 2)
		assert.Assert(t, report.Findings != nil && len(report.Findings) == 0)
	}
	code, stdout, _ := runConfigCheck(t, "--against", newer, older)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stdout, ":1:12: warning: version: 7 is not above 8"), stdout)
	code, _, _ = runConfigCheck(t, "--against", older, older)
	assert.Equal(t, code, ExitDone, "it is the same configuration")
	server.Close()
	code, _, _ = runConfigCheck(t, "--store", addr, newer)
	assert.Equal(t, code, ExitFailed)
}
