package entry

// headerScanner detects requests with both Content-Length and Transfer-Encoding while their header is read. net/http
// silently drops Content-Length in this case, and such a request may be an attempt at request smuggling.
// The header of a pipelined request, sent before the response to the previous one, is not scanned. net/http then uses
// Transfer-Encoding alone, and requests to upstreams are framed anew.
type headerScanner struct {
	// name holds the beginning of the current line in lower case, up to the colon.
	name   [maxScannedName]byte
	length int // bytes of the line so far, line end excluded
	colon  bool
	done   bool

	hasLength, hasEncoding bool
}

const (
	lengthName     = "content-length"
	encodingName   = "transfer-encoding"
	maxScannedName = len(encodingName) + 1
)

// conflicting reports whether the header has both Content-Length and Transfer-Encoding.
func (s *headerScanner) conflicting() bool { return s.hasLength && s.hasEncoding }

// feed scans the next bytes of a connection and ignores those after the header.
func (s *headerScanner) feed(buf []byte) {
	for _, b := range buf {
		switch {
		case s.done:
			return
		case b == '\n':
			s.done = s.length == 0
			s.length, s.colon = 0, false
		case b == '\r':
		case s.colon:
		case b == ':':
			s.colon = true
			s.recordName(string(s.name[:min(s.length, maxScannedName)]))
		default:
			if s.length < maxScannedName {
				s.name[s.length] = lower(b)
			}
			s.length++
		}
	}
}

func (s *headerScanner) recordName(name string) {
	switch name {
	case lengthName:
		s.hasLength = true
	case encodingName:
		s.hasEncoding = true
	}
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
