package upstream

import (
	"bufio"
	"sync"
)

const writeBufferSize = 4 << 10

var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// sender buffers the bytes of a request. It does not implement io.ReaderFrom, so that the buffer can be flushed while
// the body is read.
type sender struct {
	exchange *exchange
	buffer   *bufio.Writer
	// err is the first error of the connection.
	err error
}

func newSender(x *exchange) *sender {
	s := &sender{exchange: x, buffer: writeBuffers.Get().(*bufio.Writer)}
	s.buffer.Reset(connWriter{s})
	return s
}

// free returns the buffer to the shared pool. s must not be used afterwards.
func (s *sender) free() {
	s.buffer.Reset(nil)
	writeBuffers.Put(s.buffer)
	s.buffer = nil
}

// Write implements io.Writer.
func (s *sender) Write(buf []byte) (int, error) { return s.buffer.Write(buf) }

// WriteByte implements io.ByteWriter, which keeps net/http from adding another buffer.
func (s *sender) WriteByte(b byte) error { return s.buffer.WriteByte(b) }

// WriteString implements io.StringWriter.
func (s *sender) WriteString(str string) (int, error) { return s.buffer.WriteString(str) }

// Flush writes the buffered bytes to the connection.
func (s *sender) Flush() error { return s.buffer.Flush() }

// connWriter writes to the connection of a sender's exchange.
type connWriter struct{ sender *sender }

// Write implements io.Writer.
func (w connWriter) Write(buf []byte) (int, error) {
	n, err := w.sender.exchange.write(buf)
	if err != nil && w.sender.err == nil {
		w.sender.err = err
	}
	return n, err
}
