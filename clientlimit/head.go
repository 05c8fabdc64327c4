package clientlimit

import "bytes"

// headScan follows the head of a request line by line, to its empty line. The zero value is at the start of a request.
type headScan struct {
	// bytes and lines count those of the head, its line ends included, and empty those of empty lines before it.
	bytes, lines, empty int
	// line counts the bytes of the current line so far. A line that has only a carriage return is empty.
	line   int
	onlyCR bool
	done   bool
}

// started reports whether a byte of the head, other than those of empty lines before it, was seen.
func (s *headScan) started() bool { return s.lines > 0 || s.line > 0 && !s.onlyCR }

// feed scans the next bytes of a connection. The rest of the bytes with which the head ends is the start of a body and not counted.
func (s *headScan) feed(buf []byte) {
	if s.done {
		// net/http has not found the end of the head, so what follows is counted too.
		s.bytes += len(buf)
		return
	}
	for len(buf) > 0 && !s.done {
		end := bytes.IndexByte(buf, '\n')
		if end < 0 {
			s.add(buf)
			return
		}
		s.add(buf[:end])
		s.endLine()
		buf = buf[end+1:]
	}
}

func (s *headScan) add(part []byte) {
	if len(part) == 0 {
		return
	}
	s.onlyCR = s.line == 0 && len(part) == 1 && part[0] == '\r'
	s.line += len(part)
	s.bytes += len(part)
}

func (s *headScan) endLine() {
	s.bytes++
	isEmpty := s.line == 0 || s.onlyCR
	s.line, s.onlyCR = 0, false
	switch {
	case !isEmpty:
		s.lines++
	case s.lines > 0:
		s.done = true
	default:
		s.empty++
		s.bytes = 0
	}
}
