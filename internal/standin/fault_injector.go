package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// ServerFaults are the fault switches of one HTTP server. The zero value is a healthy server. Each use of a counted
// fault decrements its count.
type ServerFaults struct {
	// Down refuses every request with an explicit refusal.
	Down bool `json:"down,omitempty"`
	// Hang reads requests and never responds; none takes effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis is added before a request takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LateMillis is added after a request took effect and before its response.
	LateMillis int64 `json:"late_ms,omitempty"`
	// LoseResponses is the number of next writes whose connection is closed after they took effect.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of next writes whose connection is closed before they take effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// TruncateResponses is the number of next responses whose body is cut in half and whose connection is closed.
	TruncateResponses int `json:"truncate_answers,omitempty"`
	// CrossResponses is the number of next requests that get the response to an earlier request.
	CrossResponses int `json:"cross_answers,omitempty"`
	// CutDomains lists failure domains whose requests get no response and take no effect.
	CutDomains []string `json:"cut_domains,omitempty"`
}

// maxStoredResponse bounds the body of the response that is stored for CrossResponses.
const maxStoredResponse = 64 << 10

// FaultInjector applies fault switches to the requests of an HTTP handler.
type FaultInjector struct {
	next http.Handler
	// isWrite reports whether LoseResponses and LoseRequests apply to a request.
	isWrite func(*http.Request) bool

	mu     sync.Mutex // guards the fields below
	faults ServerFaults
	stored *storedResponse
}

type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

// NewFaultInjector returns a healthy FaultInjector in front of next.
func NewFaultInjector(next http.Handler, isWrite func(*http.Request) bool) *FaultInjector {
	return &FaultInjector{next: next, isWrite: isWrite}
}

// SetFaults replaces the fault switches.
func (fi *FaultInjector) SetFaults(f ServerFaults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
}

// Faults returns the fault switches.
func (fi *FaultInjector) Faults() ServerFaults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// requestFaults are the faults that apply to one request.
type requestFaults struct {
	ServerFaults
	loseResponse, loseRequest, truncate, cross bool
}

// takeFaults returns the faults of the next request and decrements the counts that it uses.
func (fi *FaultInjector) takeFaults(write bool) requestFaults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	faults := requestFaults{ServerFaults: fi.faults}
	faults.truncate = decrement(&fi.faults.TruncateResponses)
	faults.cross = decrement(&fi.faults.CrossResponses)
	if write {
		faults.loseRequest = decrement(&fi.faults.LoseRequests)
		faults.loseResponse = !faults.loseRequest && decrement(&fi.faults.LoseResponses)
	}
	return faults
}

// decrement decrements a count and reports whether it was above zero.
func decrement(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP implements http.Handler.
func (fi *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := fi.takeFaults(fi.isWrite(r))
	switch {
	case faults.Hang || slices.Contains(faults.CutDomains, r.Header.Get(infra.HeaderDomain)):
		hang(r)
	case faults.Down:
		writeRefusal(w, r, "server is down")
		return
	case faults.loseRequest:
		panic(http.ErrAbortHandler)
	}
	if !pause(r, faults.DelayMillis) {
		panic(http.ErrAbortHandler)
	}
	if !faults.loseResponse && !faults.truncate && !faults.cross && faults.LateMillis == 0 {
		fi.next.ServeHTTP(w, r)
		return
	}
	fi.serveCorrupted(w, r, faults)
}

// serveCorrupted executes the request and delays, drops or corrupts its response.
func (fi *FaultInjector) serveCorrupted(w http.ResponseWriter, r *http.Request, faults requestFaults) {
	recorded := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	fi.next.ServeHTTP(recorded, r)
	if faults.loseResponse || !pause(r, faults.LateMillis) {
		panic(http.ErrAbortHandler)
	}
	response := &storedResponse{recorded.status, recorded.header, recorded.body.Bytes()}
	if faults.cross {
		response = fi.swapStored(response)
	}
	response.write(w, faults.truncate)
}

// swapStored returns the stored response and stores the given one in its place. If none is stored, it returns the given one
// with a wrong request ID.
func (fi *FaultInjector) swapStored(response *storedResponse) *storedResponse {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	other := fi.stored
	if len(response.body) <= maxStoredResponse {
		fi.stored = response
	}
	if other == nil {
		other = &storedResponse{response.status, response.header.Clone(), response.body}
		other.header.Set(infra.HeaderRequestID, "crossed")
	}
	return other
}

func (s *storedResponse) write(w http.ResponseWriter, truncate bool) {
	for name, values := range s.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	if !truncate {
		_, _ = w.Write(s.body)
		return
	}
	_, _ = w.Write(s.body[:len(s.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// hang drops the request and keeps its connection open until the client disconnects.
func hang(r *http.Request) {
	// The server detects that the client disconnected only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// pause waits and returns false if the client disconnects first.
func pause(r *http.Request, millis int64) bool {
	if millis <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// writeRefusal responds that the request took no effect and never will.
func writeRefusal(w http.ResponseWriter, r *http.Request, format string, args ...any) {
	infra.WriteError(w, r, http.StatusServiceUnavailable,
		infra.ErrorBody{Code: infra.CodeRefused, Message: fmt.Sprintf(format, args...)})
}

// responseRecorder buffers a response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) WriteHeader(status int)      { r.status = status }
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }
