package entry

// headScanner looks for conflicting lengths in the header of a request as it arrives. net/http drops Content-Length
// beside Transfer-Encoding without a trace, and a sender of both may want two readers to see different requests.
// The header of a request that was sent before the answer to the previous one is not looked at; net/http then takes
// Transfer-Encoding alone, and upstreams never see the sender's own framing.
type headScanner struct {
	// name holds the beginning of the present line in lower case, up to the colon.
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

// conflicting reports whether the header has both ways of saying a length.
func (s *headScanner) conflicting() bool { return s.hasLength && s.hasEncoding }

// feed takes the next bytes of a connection and ignores those after the header.
func (s *headScanner) feed(buf []byte) {
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
			s.note(string(s.name[:min(s.length, maxScannedName)]))
		default:
			if s.length < maxScannedName {
				s.name[s.length] = lower(b)
			}
			s.length++
		}
	}
}

func (s *headScanner) note(name string) {
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
