package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// taskSpec is what a job's spec says about its tasks. The platform hands the spec to the runner unchanged.
type taskSpec struct {
	// WorkMs is the time that a task takes at full speed; 0 for tasks that last.
	WorkMs int `json:"work_ms"`
	// Gangs has the number of members of the steps that are gangs, by step.
	Gangs map[string]int `json:"gangs,omitempty"`
	// FailFirst makes the first run of each task fail.
	FailFirst bool `json:"fail_first,omitempty"`
}

// run is one start of a task on a runner.
type run struct {
	task     string
	number   int
	spec     taskSpec
	rawSpec  string
	began    time.Time
	stopping bool
	waits    bool // for the other members of its gang
	timer    *time.Timer
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// startupMs is how long a task that lasts takes until it is at work.
const startupMs = 300

// runner is a runner of the platform. A life ends with a crash; the next one knows nothing of it.
type runner struct {
	world *world
	id    string
	zone  string
	rack  string
	addr  string
	port  *port
	seq   int

	mu   sync.Mutex // guards the fields below
	life *life
	// lives counts the starts of the runner's process. A connection belongs to the life in which it was opened.
	lives int
	// dark means that no packet arrives; the process may run or not.
	dark bool
	// storeCut means that the runner does not reach the store; all else does reach it.
	storeCut bool
	draining bool
	listed   bool
	wroteAt  time.Time
	// late delays commands whose path has the prefix, which get no response.
	latePath  string
	lateDelay time.Duration
}

// life is one process of a runner.
type life struct {
	r       *runner
	born    int64
	booted  time.Time
	token   int64
	lease   time.Time // when everything is killed; zero if there is no lease
	runs    map[string]*run
	highest map[string]int
	ends    []ended
	next    int64
	changed chan struct{}
	dead    bool
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
}

// start starts the runner's process, unless it runs.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil {
		return
	}
	r.lives++
	r.life = &life{r: r, born: time.Now().UnixMilli(), booted: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, next: 1, changed: make(chan struct{})}
	r.dark, r.draining = false, false
}

// crash ends the runner's process. dark tells whether its machine is gone as well, so that nothing answers any more.
func (r *runner) crash(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	r.life, r.dark = nil, dark
	if l == nil {
		return
	}
	l.dead = true
	for key, u := range l.runs {
		if u.timer != nil {
			u.timer.Stop()
		}
		delete(l.runs, key)
		r.world.record.end(r.id, u.task, u.number, "crashed", 0)
		r.world.leaveGang(u, r, "broken")
	}
	close(l.changed)
}

func (r *runner) setDark(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = dark
}

func (l *life) clock() int64 { return time.Since(l.booted).Milliseconds() }

// endRun records the end of a run. The caller holds the runner's mu.
func (l *life) endRun(u *run, how string) {
	key := u.task + "/" + strconv.Itoa(u.number)
	if l.dead || l.runs[key] != u {
		return
	}
	if u.timer != nil {
		u.timer.Stop()
	}
	delete(l.runs, key)
	l.highest[u.task] = max(l.highest[u.task], u.number)
	l.ends = append(l.ends, ended{l.next, u.task, u.number, how})
	l.r.world.record.end(l.r.id, u.task, u.number, how, l.next)
	l.next++
	close(l.changed)
	l.changed = make(chan struct{})
	go func() {
		if how == "done" {
			l.r.world.leaveGang(u, l.r, "done")
		} else {
			l.r.world.leaveGang(u, l.r, "broken")
		}
	}()
}

// extend moves the end of the lease. The caller holds the runner's mu.
func (l *life) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	end := l.booted.Add(time.Duration(min(deadlineMs, l.clock()+holdMaxMs)) * time.Millisecond)
	if !end.After(l.lease) {
		return
	}
	l.lease = end
	time.AfterFunc(time.Until(end), func() {
		l.r.mu.Lock()
		defer l.r.mu.Unlock()
		if time.Now().Before(l.lease) || l.dead {
			return
		}
		l.lapsedAt = time.Now()
		for _, u := range l.runs {
			l.endRun(u, "lapsed")
		}
	})
}

type command struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	Ticket       string `json:"ticket"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

// port is an address at which one runner after another may listen.
type port struct{ current atomic.Pointer[runner] }

// opened is the runner and its life to which a connection was opened.
type opened struct {
	r    *runner
	life int
}

// openedKey is the key of opened in the context of a request.
type openedKey struct{}

// listen returns a port and its address.
func listen() (*port, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &port{}
	server := &http.Server{Handler: p, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		r := p.current.Load()
		if r == nil {
			return ctx
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return context.WithValue(ctx, openedKey{}, opened{r, r.lives})
	}}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return p, listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (p *port) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at, _ := req.Context().Value(openedKey{}).(opened)
	if r := p.current.Load(); r == nil || r != at.r {
		resetConnection(w)
		return
	}
	at.r.serve(w, req, at.life)
}

// serve serves a request on a connection that was opened in the given life.
func (r *runner) serve(w http.ResponseWriter, req *http.Request, openedIn int) {
	var c command
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	l := r.life
	if openedIn != r.lives && !r.dark {
		// The connection is that of an earlier life, which this one does not know.
		r.mu.Unlock()
		resetConnection(w)
		return
	}
	if r.dark {
		r.mu.Unlock()
		<-req.Context().Done()
		return
	}
	if l == nil {
		r.mu.Unlock()
		dropConnection(w)
		return
	}
	if r.latePath != "" && strings.HasPrefix(req.URL.Path, r.latePath) {
		time.AfterFunc(r.lateDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.life == l && !r.dark {
				r.execute(l, req.URL.Path, &c)
			}
		})
		r.mu.Unlock()
		<-req.Context().Done()
		return
	}
	if want := req.Header.Get("Currantthread-Expect-Instance"); want != "" && want != r.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := r.execute(l, req.URL.Path, &c)
	if status == http.StatusOK && req.URL.Path == "/v1/hold" && c.WaitMs > 0 && len(l.ends) == 0 {
		changed := l.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	body := map[string]any{"clock_ms": l.clock(), "born": l.born}
	if reason != "" {
		body["reason"] = reason
	}
	if status == http.StatusOK && req.URL.Path == "/v1/hold" {
		l.list(body)
	}
	gone, dark := l.dead, r.dark
	r.mu.Unlock()
	switch {
	case dark:
		<-req.Context().Done()
	case gone:
		dropConnection(w)
	default:
		writeJSON(w, status, body)
	}
}

// list adds the lists of running and ended runs. The caller holds the runner's mu.
func (l *life) list(body map[string]any) {
	running, over := [][]any{}, [][]any{}
	for _, u := range l.runs {
		percent := 0
		if !u.waits {
			elapsed := time.Since(u.began).Milliseconds()
			if u.spec.WorkMs == 0 {
				percent = int(min(100*elapsed/startupMs, 100))
			} else {
				percent = int(min(100*elapsed/int64(u.spec.WorkMs), 99))
			}
		}
		running = append(running, []any{u.task, u.number, "", percent, 0})
	}
	for _, e := range l.ends[:min(len(l.ends), maxPageRows)] {
		over = append(over, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["running"], body["ended_runs"] = running, over
}

// execute executes a command. The caller holds the runner's mu.
func (r *runner) execute(l *life, path string, c *command) (status int, reason string) {
	if c.FencingToken < l.token {
		return http.StatusConflict, "fence"
	}
	l.token = c.FencingToken
	key := c.Task + "/" + strconv.Itoa(c.Run)
	switch path {
	case "/v1/hold":
		l.extend(c.DeadlineMs)
		for len(l.ends) > 0 && l.ends[0].number <= c.AckCursor {
			e := l.ends[0]
			r.world.record.acked(r.id, e.task, e.run, e.how, l.lapsedAt)
			l.ends = l.ends[1:]
		}
	case "/v1/run-stop":
		u := l.runs[key]
		if u == nil {
			l.highest[c.Task] = max(l.highest[c.Task], c.Run)
		} else if !u.stopping {
			u.stopping = true
			time.AfterFunc(stopMs*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				l.endRun(u, "stopped")
			})
		}
	case "/v1/pace":
	case "/v1/run-start":
		l.extend(c.DeadlineMs)
		switch {
		case l.runs[key] != nil:
		case c.Run <= l.highest[c.Task]:
			return http.StatusConflict, "old"
		case c.DeadlineMs <= l.clock():
			return http.StatusConflict, "late"
		default:
			l.begin(c)
		}
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// begin starts a task. The caller holds the runner's mu.
func (l *life) begin(c *command) {
	u := &run{task: c.Task, number: c.Run, rawSpec: c.Spec, began: time.Now()}
	_ = json.Unmarshal([]byte(c.Spec), &u.spec) // the checks find a spec that no client sent
	l.runs[c.Task+"/"+strconv.Itoa(c.Run)] = u
	l.r.world.record.start(l.r.id, c, l.token)
	if members := u.spec.Gangs[stepOf(c.Task)]; members > 1 {
		u.waits = true
		u.timer = time.AfterFunc(gangTimeoutMs*time.Millisecond, func() {
			l.r.mu.Lock()
			defer l.r.mu.Unlock()
			if u.waits {
				l.endRun(u, "alone")
			}
		})
		go l.r.world.joinGang(u, l, members)
		return
	}
	l.work(u)
}

// work begins a task's work. The caller holds the runner's mu.
func (l *life) work(u *run) {
	u.waits, u.began = false, time.Now()
	if u.timer != nil {
		u.timer.Stop()
	}
	if u.spec.WorkMs == 0 {
		return
	}
	how := "done"
	if u.spec.FailFirst && u.number == 1 {
		how = "failed"
	}
	u.timer = time.AfterFunc(time.Duration(u.spec.WorkMs)*time.Millisecond, func() {
		l.r.mu.Lock()
		defer l.r.mu.Unlock()
		l.endRun(u, how)
	})
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed anyway
	}
	_ = conn.Close()
}

func stepOf(task string) string {
	if parts := strings.Split(task, "."); len(parts) == 4 {
		return parts[2]
	}
	return ""
}

// gang is one run of a gang.
type gang struct{ members map[*run]*life }

func gangOf(u *run) string {
	parts := strings.Split(u.task, ".")
	return strings.Join(parts[:3], ".") + "/" + strconv.Itoa(u.number)
}

func (w *world) joinGang(u *run, l *life, size int) {
	w.gangMu.Lock()
	defer w.gangMu.Unlock()
	key := gangOf(u)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: map[*run]*life{}}
		w.gangs[key] = g
	}
	g.members[u] = l
	if len(g.members) < size {
		return
	}
	for member, on := range g.members {
		on.r.mu.Lock()
		on.work(member)
		on.r.mu.Unlock()
	}
}

// leaveGang ends the other members of a run's gang.
func (w *world) leaveGang(u *run, _ *runner, how string) {
	if u.spec.Gangs[stepOf(u.task)] < 2 {
		return
	}
	go func() {
		w.gangMu.Lock()
		key := gangOf(u)
		g := w.gangs[key]
		delete(w.gangs, key)
		w.gangMu.Unlock()
		if g == nil {
			return
		}
		for member, on := range g.members {
			if member != u {
				on.r.mu.Lock()
				on.endRun(member, how)
				on.r.mu.Unlock()
			}
		}
	}()
}

// entry is the runner's row in service discovery.
func (r *runner) entry(l *life) map[string]any {
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.seq++
	return map[string]any{"service": serviceName, "address": r.addr, "zone": r.zone, "version": "1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": r.seq, "capacity": map[string]int{"cpu": 64000, "mem_mb": 256000, "gpu": 0},
		"labels": []string{"a", r.rack}, "machine": "m-" + r.id, "born": l.born}
}

// beat writes the runner's entry while it runs, and removes it after three intervals of silence.
func (r *runner) beat(stop <-chan struct{}) {
	for {
		r.mu.Lock()
		switch l := r.life; {
		case l != nil && !r.dark && !r.storeCut:
			r.world.store.put("servers", r.id, r.entry(l))
			r.listed, r.wroteAt = true, time.Now()
		case r.listed && time.Since(r.wroteAt) > 3*heartbeatMs*time.Millisecond:
			r.world.store.remove("servers", r.id)
			r.listed = false
		}
		r.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

func (w *world) addRunner(i int, zone string) error {
	r := &runner{world: w, id: fmt.Sprintf("i-%04x", i), zone: zone, rack: fmt.Sprintf("r%d", i/8)}
	p, addr, err := listen()
	if err != nil {
		return err
	}
	r.addr = addr
	r.port = p
	p.current.Store(r)
	r.start()
	w.runners = append(w.runners, r)
	go r.beat(w.stop)
	return nil
}
