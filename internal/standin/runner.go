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
	// leavingPeriod is how long a closing runner refuses requests as leaving before it stops listening. After this period no
	// entry daemon sends new work (guarantee G8).
	leavingPeriod = 3 * time.Second
	// drainTimeout bounds the wait for requests in flight after leavingPeriod.
	drainTimeout = 5 * time.Second
	// defaultServiceTime is the processing time of a request without delay_ms.
	defaultServiceTime = 2 * time.Millisecond
	// maxPatternBytes bounds the responses of /work.
	maxPatternBytes = 64 << 20
)

// RunnerConfig configures a runner.
type RunnerConfig struct {
	ID string
	// Addr is host:port to listen on; port 0 picks a free port.
	Addr               string
	Slots, Connections int
	// Queue is the number of requests that may wait for a slot; the runner refuses further ones as busy.
	Queue int
}

// RunnerFaults are the fault switches of a runner.
type RunnerFaults struct {
	ServerFaults
	// Dead stops listening and resets every connection, like a crash of the process, until it is switched off.
	Dead bool `json:"dead,omitempty"`
	// Busy refuses every request before it runs.
	Busy bool `json:"busy,omitempty"`
	// Leaving refuses every request before it runs and shows the VM as leaving in the VM list.
	Leaving bool `json:"leaving,omitempty"`
	// FailFast responds with 500 at once.
	FailFast bool `json:"fail_fast,omitempty"`
	// SlowFactor multiplies the processing time of requests; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Silence makes all currently open connections drop their traffic permanently.
	Silence bool `json:"silence,omitempty"`
	// Plain omits every optional header.
	Plain bool `json:"plain,omitempty"`
}

// Runner is a simulated upstream of a service.
type Runner struct {
	cfg      RunnerConfig
	counts   *RunCounts
	injector *FaultInjector
	slots    chan struct{}

	mu       sync.Mutex // guards the fields below
	faults   RunnerFaults
	slowdown float64
	inflight int
	queued   int
	leaving  bool
	addr     string
	listener *Listener
	server   *http.Server
}

// StartRunner starts a runner that counts its requests in counts.
func StartRunner(cfg RunnerConfig, counts *RunCounts) (*Runner, error) {
	r := &Runner{cfg: cfg, counts: counts, slots: make(chan struct{}, cfg.Slots), slowdown: 1, addr: cfg.Addr}
	r.injector = NewFaultInjector(http.HandlerFunc(r.serve), func(*http.Request) bool { return true })
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// listen starts to listen. A restarted runner listens on the same address as before.
func (r *Runner) listen() error {
	inner, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.addr = inner.Addr().String()
	r.listener = NewListener(inner, r.cfg.Connections)
	r.server = &http.Server{Handler: r.injector, ReadHeaderTimeout: 10 * time.Second}
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

// State returns the current state for the VM list. listed is false if the runner is dead.
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
	r.injector.SetFaults(f.ServerFaults)
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
	f.ServerFaults = r.injector.Faults()
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
	// Entry daemons detect that the runner is leaving by its refusals and by the VM list.
	time.Sleep(leavingPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
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

// ConnectionsRefused returns the number of connections that were refused because of the limit.
func (r *Runner) ConnectionsRefused() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Refused()
}

// serve handles one request.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	faults := r.currentFaults()
	if !faults.Plain {
		if id := req.Header.Get(infra.HeaderRequestID); id != "" {
			w.Header().Set(infra.HeaderRequestID, id)
		}
	}
	if reason := r.acquireSlot(req, faults); reason != "" {
		r.refuse(w, faults, reason)
		return
	}
	defer r.releaseSlot()
	if faults.FailFast {
		http.Error(w, "runner fails", http.StatusInternalServerError)
		return
	}
	r.execute(w, req, faults)
}

// currentFaults returns the faults, with Leaving set while the runner is closing.
func (r *Runner) currentFaults() RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	f.Leaving = f.Leaving || r.leaving
	return f
}

// acquireSlot waits for a slot. It returns the reason for a refusal, or "" if the request may run.
func (r *Runner) acquireSlot(req *http.Request, faults RunnerFaults) string {
	switch {
	case faults.Leaving:
		return "leaving"
	case faults.Busy, !r.enqueue():
		return "busy"
	}
	defer r.dequeue()
	wait := time.NewTimer(remainingTimeout(req))
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

// remainingTimeout returns how much longer the caller waits.
func remainingTimeout(req *http.Request) time.Duration {
	millis, err := strconv.ParseInt(req.Header.Get(headerTimeout), 10, 64)
	if err != nil || millis <= 0 || millis > time.Hour.Milliseconds() {
		return time.Minute
	}
	return time.Duration(millis) * time.Millisecond
}

// enqueue reserves a place in the queue. A request that finds a free slot occupies the place only briefly.
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

// releaseSlot releases the slot of a request.
func (r *Runner) releaseSlot() {
	r.mu.Lock()
	r.inflight--
	r.mu.Unlock()
	<-r.slots
}

// refuse responds that the request was not run.
func (r *Runner) refuse(w http.ResponseWriter, faults RunnerFaults, reason string) {
	r.reportLoad(w, faults)
	if faults.Plain {
		// Without the header an entry daemon must assume that the request may have run.
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerRefused, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// reportLoad sets the load header of a response.
func (r *Runner) reportLoad(w http.ResponseWriter, faults RunnerFaults) {
	if faults.Plain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(headerLoad, fmt.Sprintf("inflight=%d,slots=%d,queue=%d", r.inflight, r.cfg.Slots, r.queued))
}

// execute executes a request that holds a slot.
func (r *Runner) execute(w http.ResponseWriter, req *http.Request, faults RunnerFaults) {
	query := req.URL.Query()
	r.counts.countRequest(req, r.cfg.ID)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		// The sender disconnected while sending the body, so there is no reader for a response.
		panic(http.ErrAbortHandler)
	}
	r.process(faults, query.Get("delay_ms"))
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
			Number: fmt.Sprintf("%s-%d", r.cfg.ID, r.counts.nextNumber()), Token: query.Get("token"), BodyBytes: len(body),
		})
	default:
		http.NotFound(w, req)
	}
}

// process holds the slot for the processing time of the request, even if the caller disconnects.
func (r *Runner) process(faults RunnerFaults, delay string) {
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

// Availability is the response to the idempotent check of a place.
type Availability struct {
	Place string `json:"place"`
	Date  string `json:"date"`
	Free  bool   `json:"free"`
	Token string `json:"token"`
}

// Reservation is the response to a non-idempotent reservation or settlement. Number is unique for each run.
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
