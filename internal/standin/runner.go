package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// Headers between entry daemons and upstreams (docs/design.md §6).
const (
	headerTimeout        = "Currantthread-Timeout-Ms"
	headerLoad           = "Currantthread-Load"
	headerRefused        = "Currantthread-Refused"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// leavingTime is how long a closing runner refuses requests as leaving before it stops listening. After it no
	// entry daemon sends new work (guarantee G8).
	leavingTime = 3 * time.Second
	// replicaGrace bounds the wait for requests in flight after that.
	replicaGrace = 5 * time.Second
	// defaultServiceTime is how long a request works that names no delay_ms.
	defaultServiceTime = 2 * time.Millisecond
	// maxPatternBytes bounds the answers of /work.
	maxPatternBytes = 64 << 20
)

// RunnerConfig configures a runner.
type RunnerConfig struct {
	ID string
	// Addr is host:port to listen on; port 0 picks one.
	Addr               string
	Slots, Connections int
	// Queue is how many requests wait for a slot before the runner refuses as busy.
	Queue int
}

// RunnerFaults are the fault switches of a runner.
type RunnerFaults struct {
	GateFaults
	// Dead stops listening and resets every connection, as the death of a process does, until it is switched off.
	Dead bool `json:"dead,omitempty"`
	// Busy refuses every request before it runs.
	Busy bool `json:"busy,omitempty"`
	// Leaving refuses every request before it runs and shows the VM as leaving in the VM list.
	Leaving bool `json:"leaving,omitempty"`
	// FailFast answers 500 at once.
	FailFast bool `json:"fail_fast,omitempty"`
	// SlowFactor multiplies the time that requests work; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Silence makes the connections that are open now go silent for good.
	Silence bool `json:"silence,omitempty"`
	// Plain omits every optional header.
	Plain bool `json:"plain,omitempty"`
}

// Runner is an upstream of a service.
type Runner struct {
	cfg   RunnerConfig
	runs  *RunCounts
	gate  *Gate
	slots chan struct{}

	mu       sync.Mutex // owned by the methods below
	faults   RunnerFaults
	slowdown float64
	inflight int
	queued   int
	leaving  bool
	addr     string
	listener *Listener
	server   *http.Server
}

// StartRunner starts a runner that counts its runs in runs.
func StartRunner(cfg RunnerConfig, runs *RunCounts) (*Runner, error) {
	r := &Runner{cfg: cfg, runs: runs, slots: make(chan struct{}, cfg.Slots), slowdown: 1, addr: cfg.Addr}
	r.gate = NewGate(http.HandlerFunc(r.serve), func(*http.Request) bool { return true })
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// listen starts to listen. A runner that died listens on the same address again.
func (r *Runner) listen() error {
	inner, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.addr = inner.Addr().String()
	r.listener = NewListener(inner, r.cfg.Connections)
	r.server = &http.Server{Handler: r.gate, ReadHeaderTimeout: 10 * time.Second}
	server, listener := r.server, r.listener
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Addr returns host:port on which the runner listens.
func (r *Runner) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// State returns what the VM list shows once its lag has passed. listed is false for a dead runner.
func (r *Runner) State() (state infra.VMState, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.faults.Leaving {
		return infra.VMLeaving, !r.faults.Dead
	}
	return infra.VMLive, !r.faults.Dead
}

// SetFaults replaces the fault switches.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasDead := r.faults.Dead
	silence := f.Silence
	f.Silence = false
	r.faults = f
	r.gate.SetFaults(f.GateFaults)
	if silence {
		r.listener.Silence()
	}
	switch {
	case f.Dead && !wasDead:
		r.listener.Kill()
		_ = r.server.Close()
	case !f.Dead && wasDead:
		if err := r.listen(); err != nil {
			r.faults.Dead = true
		}
	}
}

// Faults returns the fault switches.
func (r *Runner) Faults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	f.GateFaults = r.gate.Faults()
	return f
}

// SetSlowdown implements Replica.
func (r *Runner) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// Close implements Replica.
func (r *Runner) Close() {
	r.mu.Lock()
	r.leaving = true
	server := r.server
	r.mu.Unlock()
	// Entry daemons learn of the leaving runner from its refusals and from the VM list.
	time.Sleep(leavingTime)
	ctx, cancel := context.WithTimeout(context.Background(), replicaGrace)
	defer cancel()
	_ = server.Shutdown(ctx)
	r.Kill()
}

// Kill implements Replica.
func (r *Runner) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Kill()
	_ = r.server.Close()
}

// ConnectionsRefused counts the connections above the limit.
func (r *Runner) ConnectionsRefused() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Refused()
}

// serve answers one request.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	faults := r.snapshot()
	if !faults.Plain {
		if id := req.Header.Get(infra.HeaderRequestID); id != "" {
			w.Header().Set(infra.HeaderRequestID, id)
		}
	}
	if reason := r.enter(req, faults); reason != "" {
		r.refuse(w, faults, reason)
		return
	}
	defer r.leave()
	if faults.FailFast {
		http.Error(w, "runner fails", http.StatusInternalServerError)
		return
	}
	r.run(w, req, faults)
}

func (r *Runner) snapshot() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	f.Leaving = f.Leaving || r.leaving
	return f
}

// enter waits for a slot. It returns the reason of a refusal, or "" if the request may run.
func (r *Runner) enter(req *http.Request, faults RunnerFaults) string {
	switch {
	case faults.Leaving:
		return "leaving"
	case faults.Busy, !r.enqueue():
		return "busy"
	}
	defer r.dequeue()
	wait := time.NewTimer(timeoutOf(req))
	defer wait.Stop()
	select {
	case r.slots <- struct{}{}:
	case <-wait.C:
		return "busy"
	case <-req.Context().Done():
		return "busy"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inflight++
	return ""
}

// timeoutOf returns the time that the caller still waits.
func timeoutOf(req *http.Request) time.Duration {
	millis, err := strconv.ParseInt(req.Header.Get(headerTimeout), 10, 64)
	if err != nil || millis <= 0 || millis > time.Hour.Milliseconds() {
		return time.Minute
	}
	return time.Duration(millis) * time.Millisecond
}

// enqueue reserves a place in the queue. Requests that find a free slot need one for an instant only.
func (r *Runner) enqueue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queued >= r.cfg.Queue+r.cfg.Slots-r.inflight {
		return false
	}
	r.queued++
	return true
}

func (r *Runner) dequeue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
}

func (r *Runner) leave() {
	r.mu.Lock()
	r.inflight--
	r.mu.Unlock()
	<-r.slots
}

func (r *Runner) refuse(w http.ResponseWriter, faults RunnerFaults, reason string) {
	r.reportLoad(w, faults)
	if faults.Plain {
		// Without the header an entry daemon must take the request for one that may have run.
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerRefused, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (r *Runner) reportLoad(w http.ResponseWriter, faults RunnerFaults) {
	if faults.Plain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(headerLoad, fmt.Sprintf("inflight=%d,slots=%d,queue=%d", r.inflight, r.cfg.Slots, r.queued))
}

// run executes a request that has a slot.
func (r *Runner) run(w http.ResponseWriter, req *http.Request, faults RunnerFaults) {
	query := req.URL.Query()
	r.runs.add(req, r.cfg.ID)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		// The sender left within the body; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	r.work(faults, query.Get("delay_ms"))
	r.reportLoad(w, faults)
	path := strings.TrimSuffix(req.URL.Path, "/")
	switch path[strings.LastIndexByte(path, '/')+1:] {
	case "echo":
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	case "work":
		writePattern(w, query.Get("token"), query.Get("bytes"))
	case "availability":
		writeResult(w, http.StatusOK, Availability{
			Place: query.Get("place"), Date: query.Get("date"), Free: true, Token: query.Get("token"),
		})
	case "reservations", "settlements", "tickets":
		writeResult(w, http.StatusCreated, Reservation{
			Number: fmt.Sprintf("%s-%d", r.cfg.ID, r.runs.next()), Token: query.Get("token"), BodyBytes: len(body),
		})
	default:
		http.NotFound(w, req)
	}
}

// work holds the slot for the time that the request works. A caller that leaves does not stop it.
func (r *Runner) work(faults RunnerFaults, delay string) {
	d := defaultServiceTime
	if millis, err := strconv.ParseFloat(delay, 64); err == nil && millis >= 0 {
		d = time.Duration(millis * float64(time.Millisecond))
	}
	r.mu.Lock()
	factor := r.slowdown
	r.mu.Unlock()
	if faults.SlowFactor > 0 {
		factor *= faults.SlowFactor
	}
	time.Sleep(time.Duration(float64(d) * factor))
}

// Availability answers the idempotent check of a place.
type Availability struct {
	Place string `json:"place"`
	Date  string `json:"date"`
	Free  bool   `json:"free"`
	Token string `json:"token"`
}

// Reservation answers a non-idempotent reservation or settlement. Number differs for each run.
type Reservation struct {
	Number    string `json:"number"`
	Token     string `json:"token"`
	BodyBytes int    `json:"body_bytes"`
}

func writeResult(w http.ResponseWriter, status int, result any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result)
}

func writePattern(w http.ResponseWriter, token, size string) {
	n, err := strconv.ParseInt(size, 10, 64)
	if err != nil || n < 0 || n > maxPatternBytes {
		n = 0
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.Copy(w, io.LimitReader(NewPattern(token), n))
}
