package observe

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against a daemon that blocks because nobody reads its log, and against lines that are dropped without a notice.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewBoundedWriter(out)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 2000 {
			n, err := w.Write(line)
			assert.NilError(t, err)
			assert.Equal(t, n, len(line))
		}
		close(out.release)
		assert.NilError(t, w.Close())
		assert.Assert(t, strings.Contains(out.String(), "log lines were left out"))
		assert.Assert(t, out.Len() < 600<<10, "%d bytes", out.Len())
	})
}
