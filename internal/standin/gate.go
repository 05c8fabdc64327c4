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

// GateFaults are the fault switches of one HTTP server. The zero value is a healthy server. Counts fall with each use.
type GateFaults struct {
	// Down refuses every request with a stated refusal.
	Down bool `json:"down,omitempty"`
	// Hang reads requests and never answers them; none takes effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis is added before a request takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LateMillis is added after a request took effect and before its answer.
	LateMillis int64 `json:"late_ms,omitempty"`
	// LoseAnswers closes the connection of the next so many writes after they took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests closes the connection of the next so many writes before they take effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// TruncateAnswers cuts the body of the next so many answers in half and closes the connection.
	TruncateAnswers int `json:"truncate_answers,omitempty"`
	// CrossAnswers answers the next so many requests with an earlier request's answer.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// CutDomains lists failure domains whose requests are never answered and take no effect.
	CutDomains []string `json:"cut_domains,omitempty"`
}

// maxKeptAnswer bounds the answer that is kept for CrossAnswers.
const maxKeptAnswer = 64 << 10

// Gate applies fault switches to the requests of an HTTP handler.
type Gate struct {
	next http.Handler
	// writes tells which requests LoseAnswers and LoseRequests count.
	writes func(*http.Request) bool

	mu     sync.Mutex // owned by the methods below
	faults GateFaults
	kept   *keptAnswer
}

type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// NewGate returns a healthy Gate before next.
func NewGate(next http.Handler, writes func(*http.Request) bool) *Gate {
	return &Gate{next: next, writes: writes}
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

// plan is what happens to one request.
type plan struct {
	GateFaults
	loseAnswer, loseRequest, truncate, cross bool
}

func (g *Gate) plan(write bool) plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := plan{GateFaults: g.faults}
	p.truncate = use(&g.faults.TruncateAnswers)
	p.cross = use(&g.faults.CrossAnswers)
	if write {
		p.loseRequest = use(&g.faults.LoseRequests)
		p.loseAnswer = !p.loseRequest && use(&g.faults.LoseAnswers)
	}
	return p
}

func use(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := g.plan(g.writes(r))
	switch {
	case p.Hang || slices.Contains(p.CutDomains, r.Header.Get(infra.HeaderDomain)):
		hang(r)
	case p.Down:
		refuse(w, r, "server is down")
		return
	case p.loseRequest:
		panic(http.ErrAbortHandler)
	}
	if !pause(r, p.DelayMillis) {
		panic(http.ErrAbortHandler)
	}
	if !p.loseAnswer && !p.truncate && !p.cross && p.LateMillis == 0 {
		g.next.ServeHTTP(w, r)
		return
	}
	g.spoil(w, r, p)
}

// spoil runs the request and damages its answer.
func (g *Gate) spoil(w http.ResponseWriter, r *http.Request, p plan) {
	recorded := &recorder{header: http.Header{}, status: http.StatusOK}
	g.next.ServeHTTP(recorded, r)
	if p.loseAnswer || !pause(r, p.LateMillis) {
		panic(http.ErrAbortHandler)
	}
	own := &keptAnswer{recorded.status, recorded.header, recorded.body.Bytes()}
	if p.cross {
		own = g.swap(own)
	}
	own.write(w, p.truncate)
}

// swap returns the kept answer and keeps own in its place. Without a kept answer it returns own under another request's
// ID.
func (g *Gate) swap(own *keptAnswer) *keptAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	other := g.kept
	if len(own.body) <= maxKeptAnswer {
		g.kept = own
	}
	if other == nil {
		other = &keptAnswer{own.status, own.header.Clone(), own.body}
		other.header.Set(infra.HeaderRequestID, "crossed")
	}
	return other
}

func (a *keptAnswer) write(w http.ResponseWriter, truncate bool) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if !truncate {
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// hang drops the request and holds its connection until the client leaves.
func hang(r *http.Request) {
	// The server notices that a client left only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// pause waits and reports false if the client left first.
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

// refuse answers that nothing was written and nothing will be.
func refuse(w http.ResponseWriter, r *http.Request, format string, args ...any) {
	infra.WriteError(w, r, http.StatusServiceUnavailable,
		infra.ErrorBody{Code: infra.CodeRefused, Message: fmt.Sprintf(format, args...)})
}

type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
