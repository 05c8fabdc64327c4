package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBuffer bounds the bytes of lines that wait to be written.
	logBuffer = 256 << 10
	// logRate bounds the bytes a second that a process writes in the long run, and logBurst what it may write at once.
	logRate  = 200 << 10
	logBurst = 400 << 10
)

// BoundedWriter passes lines on without ever blocking its callers. Lines above the rate or beyond the buffer are left
// out, and a line then says how many.
type BoundedWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // owned by the methods of BoundedWriter
	pending bytes.Buffer
	tokens  float64
	filled  time.Time
	dropped int
	closed  bool
}

// NewBoundedWriter returns a writer that writes to out from a goroutine of its own, until it is closed.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: logBurst, filled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer. It takes the line or leaves it out, and never fails.
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

// flush writes what waits and reports whether the writer is still open.
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
	// A log that can't be written has nowhere to be reported.
	_, _ = w.out.Write(lines)
	return !closed
}

// Close writes what waits and ends the writer.
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
