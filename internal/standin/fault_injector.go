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

// GateFaults are the fault switches of one HTTP server. The zero value is a healthy server. Each use of a counted fault
// decrements its count.
type GateFaults struct {
	// Down refuses every request with an explicit refusal.
	Down bool `json:"down,omitempty"`
	// Hang reads requests and never responds; none takes effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis is added before a request takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LateMillis is added after a request took effect and before its response.
	LateMillis int64 `json:"late_ms,omitempty"`
	// LoseAnswers is the number of next writes whose connection is closed after they took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of next writes whose connection is closed before they take effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// TruncateAnswers is the number of next responses whose body is cut in half and whose connection is closed.
	TruncateAnswers int `json:"truncate_answers,omitempty"`
	// CrossAnswers is the number of next requests that get the response to an earlier request.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// CutDomains lists failure domains whose requests get no response and take no effect.
	CutDomains []string `json:"cut_domains,omitempty"`
}

// maxStoredResponse bounds the body of the response that is stored for CrossAnswers.
const maxStoredResponse = 64 << 10

// Gate applies fault switches to the requests of an HTTP handler.
type Gate struct {
	next http.Handler
	// isWrite reports whether LoseAnswers and LoseRequests apply to a request.
	isWrite func(*http.Request) bool

	mu     sync.Mutex // guards the fields below
	faults GateFaults
	stored *storedResponse
}

type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

// NewGate returns a healthy Gate in front of next.
func NewGate(next http.Handler, isWrite func(*http.Request) bool) *Gate {
	return &Gate{next: next, isWrite: isWrite}
}

// SetFaults replaces the fault switches.
func (g *Gate) SetFaults(f GateFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Faults returns the fault switches.
func (g *Gate) Faults() GateFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// requestFaults are the faults that apply to one request.
type requestFaults struct {
	GateFaults
	loseResponse, loseRequest, truncate, cross bool
}

// takeFaults returns the faults of the next request and decrements the counts that it uses.
func (g *Gate) takeFaults(write bool) requestFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	faults := requestFaults{GateFaults: g.faults}
	faults.truncate = decrement(&g.faults.TruncateAnswers)
	faults.cross = decrement(&g.faults.CrossAnswers)
	if write {
		faults.loseRequest = decrement(&g.faults.LoseRequests)
		faults.loseResponse = !faults.loseRequest && decrement(&g.faults.LoseAnswers)
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
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := g.takeFaults(g.isWrite(r))
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
		g.next.ServeHTTP(w, r)
		return
	}
	g.serveCorrupted(w, r, faults)
}

// serveCorrupted executes the request and delays, drops or corrupts its response.
func (g *Gate) serveCorrupted(w http.ResponseWriter, r *http.Request, faults requestFaults) {
	recorded := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	g.next.ServeHTTP(recorded, r)
	if faults.loseResponse || !pause(r, faults.LateMillis) {
		panic(http.ErrAbortHandler)
	}
	response := &storedResponse{recorded.status, recorded.header, recorded.body.Bytes()}
	if faults.cross {
		response = g.swapStored(response)
	}
	response.write(w, faults.truncate)
}

// swapStored returns the stored response and stores the given one in its place. If none is stored, it returns the given one
// with a wrong request ID.
func (g *Gate) swapStored(response *storedResponse) *storedResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	other := g.stored
	if len(response.body) <= maxStoredResponse {
		g.stored = response
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
