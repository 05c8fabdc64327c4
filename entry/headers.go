package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of callers' requests.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "Currantthread-Priority"
)

// hopHeaders are the hop-by-hop headers. They are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes hop-by-hop headers, including those listed in Connection.
func removeHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// headerSize returns the size of a request's header in bytes as it was sent, up to differences in white space.
func headerSize(r *http.Request) int64 {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}
