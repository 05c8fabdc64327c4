package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBuffer bounds the bytes of buffered lines.
	logBuffer = 256 << 10
	// logRate bounds the average bytes per second that a process writes, and logBurst the bytes that it may write at once.
	logRate  = 200 << 10
	logBurst = 400 << 10
)

// BoundedWriter writes log lines asynchronously, so that its callers never block. Lines that exceed the rate limit or the
// buffer are dropped, and a later line reports how many.
type BoundedWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // guards the fields below
	pending bytes.Buffer
	tokens  float64
	filled  time.Time
	dropped int
	closed  bool
}

// NewBoundedWriter returns a writer that writes to out from a dedicated goroutine until it is closed.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: logBurst, filled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers or drops the line, and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(logBurst, w.tokens+now.Sub(w.filled).Seconds()*logRate)
	w.filled = now
	if w.closed || w.tokens < float64(len(line)) || w.pending.Len()+len(line) > logBuffer {
		w.dropped++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for range w.wake {
		if !w.flush() {
			return
		}
	}
}

// flush writes the buffered lines and reports whether the writer is still open.
func (w *BoundedWriter) flush() bool {
	w.mu.Lock()
	lines := append([]byte(nil), w.pending.Bytes()...)
	w.pending.Reset()
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warning\",\"msg\":\"log lines were left out\",\"lines\":%d,\"time\":%q}\n",
			w.dropped, time.Now().Format(time.RFC3339Nano))
		w.dropped = 0
	}
	closed := w.closed
	w.mu.Unlock()
	// There is nowhere to report that the log can't be written.
	_, _ = w.out.Write(lines)
	return !closed
}

// Close writes the buffered lines and stops the writer.
func (w *BoundedWriter) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
	return nil
}
