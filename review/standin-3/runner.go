package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holdMax is the longest lease that a runner grants, and stopTime how long a stop takes.
const (
	holdMax  = 10 * time.Second
	stopTime = 100 * time.Millisecond
)

// machine is a runner's VM. One process after another runs on it, all under the same ID and address.
type machine struct {
	id     string
	addr   string
	zone   string
	labels []string
	cpu    int64
	world  *world
	// registerNow makes the runner write its entry at once.
	registerNow chan struct{}

	mu      sync.Mutex // guards the fields below and the state of all processes
	process *process
	server  *http.Server
	// cut is set while no call of the system reaches the machine.
	cut bool
	// resetAfterCut is set if connections that were open when the cut began belong to a process that has ended since.
	resetAfterCut bool
	// conns are the open connections, with whether each is idle.
	conns map[net.Conn]bool
	// sequence counts the entries that the present process has written in service discovery.
	sequence int64
	draining bool
	// onStart, if set, decides on a start command that has arrived: it reports whether the command gets no response, and after which time it is
	// carried out then; 0 means never.
	onStart func(c command) (unanswered bool, late time.Duration)
	// onStarted, if set, is called once a start has been carried out, before its response is sent, which is lost if it cuts the machine off.
	onStarted func(c command)
}

// process is one process of a runner.
type process struct {
	machine *machine
	born    time.Time
	dead    bool
	token   int64
	// lease is when everything on the runner is killed.
	lease   time.Time
	running map[string]*run
	// highest is the highest run that was stopped or has ended, by task.
	highest map[string]int
	ends    []end
	next    int64
	changed chan struct{}
}

type run struct {
	task  string
	run   int
	began time.Time
	timer *time.Timer
	cpu   int64
	total time.Duration
	lasts bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// command is the body of any command.
type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (m *machine) newProcess() *process {
	return &process{machine: m, born: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
}

// boot starts a process of the runner. The caller holds mu.
func (m *machine) boot() {
	m.process, m.sequence, m.draining = m.newProcess(), 0, false
	if m.server == nil {
		m.listen()
	}
	select {
	case m.registerNow <- struct{}{}:
	default:
	}
	m.world.record("runner %s process started, born %d", m.id, m.process.born.UnixMilli())
}

// listen opens the runner's port. The caller holds mu.
func (m *machine) listen() {
	address := m.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	m.addr = listener.Addr().String()
	m.conns = map[net.Conn]bool{}
	m.server = &http.Server{Handler: m, ConnState: m.connState}
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
}

func (m *machine) connState(conn net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state == http.StateClosed {
		delete(m.conns, conn)
		return
	}
	m.conns[conn] = state == http.StateIdle
}

// losePower ends the runner's process without a sign to its peers. Calls that wait for a response get none; other connections are reset, as the
// machine does once it is back.
func (m *machine) losePower() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kill()
	for conn, idle := range m.conns {
		if idle {
			_ = conn.Close()
		}
	}
	m.world.record("runner %s lost power", m.id)
}

// kill ends the process and everything that runs there. The caller holds mu.
func (m *machine) kill() {
	p := m.process
	p.dead = true
	for key, r := range p.running {
		r.timer.Stop()
		delete(p.running, key)
		m.world.ended(r.task, r.run, m.id, "crashed")
	}
	close(p.changed)
	p.changed = make(chan struct{})
	m.process = nil
}

// crash ends the runner's process and everything that runs there.
func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.kill()
	if m.cut {
		// Nothing passes the cut, so nobody sees the connections end before it has healed.
		m.resetAfterCut = true
	} else {
		m.closeServer()
	}
	m.world.record("runner %s process crashed", m.id)
}

// restart starts a process after a crash.
func (m *machine) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boot()
}

// closeServer closes the port and resets its connections. The caller holds mu.
func (m *machine) closeServer() {
	if m.server != nil {
		_ = m.server.Close()
		m.server = nil
	}
}

func (m *machine) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	if !cut && m.resetAfterCut {
		m.resetAfterCut = false
		m.closeServer()
		if m.process != nil {
			m.listen()
		}
	}
	m.world.record("runner %s cut=%v", m.id, cut)
}

// entry is the runner's entry in service discovery, or nil if no process runs.
func (m *machine) entry() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	return map[string]any{"service": serviceName, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 256000, "gpu": 0}, "labels": m.labels,
		"clock_ms": m.process.clock(), "sequence": m.sequence, "born": m.process.born.UnixMilli(), "machine": "m-" + m.id}
}

func (p *process) clock() int64 { return time.Since(p.born).Milliseconds() }

func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	if m.cut || m.process == nil {
		m.mu.Unlock()
		<-r.Context().Done()
		return
	}
	p := m.process
	if want := r.Header.Get("Currantthread-Expect-Instance"); want != "" && want != m.id {
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var status int
	var body map[string]any
	switch r.URL.Path {
	case "/v1/run-start":
		if m.onStart != nil {
			if unanswered, late := m.onStart(c); unanswered {
				m.mu.Unlock()
				m.world.record("order run-start %s run %d token %d to %s gets no response, carried out after %v (0s: never)", c.Task, c.Run, c.Token, m.id, late)
				if late > 0 {
					time.AfterFunc(late, func() { m.carryOut(c) })
				}
				<-r.Context().Done()
				return
			}
		}
		status, body = p.start(c)
		m.world.record("order run-start %s run %d token %d to %s: %d %v", c.Task, c.Run, c.Token, m.id, status, body["reason"])
		if m.onStarted != nil && status == http.StatusOK {
			m.onStarted(c)
			if m.cut {
				m.mu.Unlock()
				<-r.Context().Done()
				return
			}
		}
	case "/v1/run-stop":
		status, body = p.stop(c)
		m.world.record("order run-stop %s run %d token %d to %s: %d %v", c.Task, c.Run, c.Token, m.id, status, body["reason"])
	case "/v1/pace":
		status, body = http.StatusOK, map[string]any{}
	case "/v1/hold":
		m.mu.Unlock()
		m.serveHold(w, r, p, c)
		return
	default:
		status = http.StatusNotFound
	}
	if body != nil {
		body["clock_ms"], body["born"] = p.clock(), p.born.UnixMilli()
	}
	m.mu.Unlock()
	writeJSON(w, status, body)
}

// carryOut carries out a start command late, by the process that runs then.
func (m *machine) carryOut(c command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		m.world.record("late order run-start %s run %d finds no process on %s", c.Task, c.Run, m.id)
		return
	}
	status, body := m.process.start(c)
	m.world.record("late order run-start %s run %d token %d carried out by %s born %d: %d %v", c.Task, c.Run, c.Token, m.id,
		m.process.born.UnixMilli(), status, body["reason"])
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// start carries out a start command. The caller holds the machine's mu.
func (p *process) start(c command) (int, map[string]any) {
	if c.Token < p.token {
		return refusal("fence")
	}
	p.token = c.Token
	p.extend(c.DeadlineMs)
	key := c.Task + "/" + strconv.Itoa(c.Run)
	total, cpu, lasts := parseSpec(c.Spec, c.Task)
	used := int64(0)
	for _, r := range p.running {
		used += r.cpu
	}
	switch {
	case p.running[key] != nil:
		return http.StatusOK, map[string]any{}
	case c.Run <= p.highest[c.Task]:
		return refusal("old")
	case c.DeadlineMs <= p.clock():
		return refusal("late")
	case used+cpu > p.machine.cpu:
		return refusal("room")
	}
	r := &run{task: c.Task, run: c.Run, began: time.Now(), cpu: cpu, total: total, lasts: lasts}
	p.running[key] = r
	if lasts {
		total = 24 * time.Hour
	}
	r.timer = time.AfterFunc(total, func() {
		p.machine.mu.Lock()
		defer p.machine.mu.Unlock()
		p.finish(key, "done")
	})
	p.machine.world.started(c.Task, c.Run, p.machine.id)
	return http.StatusOK, map[string]any{}
}

func (p *process) stop(c command) (int, map[string]any) {
	if c.Token < p.token {
		return refusal("fence")
	}
	p.token = c.Token
	key := c.Task + "/" + strconv.Itoa(c.Run)
	if p.running[key] == nil {
		p.highest[c.Task] = max(p.highest[c.Task], c.Run)
		return http.StatusOK, map[string]any{}
	}
	time.AfterFunc(stopTime, func() {
		p.machine.mu.Lock()
		defer p.machine.mu.Unlock()
		p.finish(key, "stopped")
	})
	return http.StatusOK, map[string]any{}
}

// finish ends a run. The caller holds the machine's mu.
func (p *process) finish(key, how string) {
	r := p.running[key]
	if r == nil || p.dead {
		return
	}
	r.timer.Stop()
	delete(p.running, key)
	p.highest[r.task] = max(p.highest[r.task], r.run)
	p.next++
	p.ends = append(p.ends, end{p.next, r.task, r.run, how, time.Now()})
	p.machine.world.ended(r.task, r.run, p.machine.id, how)
	close(p.changed)
	p.changed = make(chan struct{})
}

// extend moves the end of the lease to a time on the runner's clock. It never shortens. The caller holds the machine's mu.
func (p *process) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	lease := min(time.Duration(deadlineMs-p.clock())*time.Millisecond, holdMax)
	end := time.Now().Add(lease)
	if !end.After(p.lease) {
		return
	}
	p.lease = end
	time.AfterFunc(lease, func() {
		p.machine.mu.Lock()
		defer p.machine.mu.Unlock()
		if p.dead || time.Now().Before(p.lease) {
			return
		}
		p.machine.world.lapsed(p.machine.id)
		for key := range p.running {
			p.finish(key, "lapsed")
		}
	})
}

// acknowledge forgets ends. The caller holds the machine's mu.
func (p *process) acknowledge(cursor int64) {
	for len(p.ends) > 0 && p.ends[0].number <= cursor {
		p.machine.world.acknowledged(p.machine.id, p.ends[0])
		p.ends = p.ends[1:]
	}
}

func (m *machine) serveHold(w http.ResponseWriter, r *http.Request, p *process, c command) {
	deadline := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for first, expired := true, c.WaitMs <= 0; ; first = false {
		m.mu.Lock()
		switch {
		case p.dead || m.cut:
			m.mu.Unlock()
			<-r.Context().Done()
			return
		case c.Token < p.token:
			m.mu.Unlock()
			status, body := refusal("fence")
			body["clock_ms"], body["born"] = p.clock(), p.born.UnixMilli()
			writeJSON(w, status, body)
			return
		}
		if first {
			p.token = c.Token
			p.extend(c.DeadlineMs)
			p.acknowledge(c.AckCursor)
		}
		if len(p.ends) > 0 || expired {
			body := p.report()
			m.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
			return
		}
		changed := p.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// report lists the runs and the ends. The caller holds the machine's mu.
func (p *process) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range p.running {
		percent := 100
		if !r.lasts {
			percent = int(100 * time.Since(r.began) / max(r.total, 1))
		}
		running = append(running, []any{r.task, r.run, "", min(percent, 100), r.cpu})
	}
	sort.Slice(running, func(a, b int) bool { return fmt.Sprint(running[a]) < fmt.Sprint(running[b]) })
	for _, e := range p.ends {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": p.clock(), "born": p.born.UnixMilli(), "running": running, "ended_runs": ended}
}

// parseSpec reads what a task of this test does from the job's specification: entries STEP:MILLISECONDS:CPU, separated by commas. 0
// milliseconds stand for a task that lasts.
func parseSpec(spec, task string) (total time.Duration, cpu int64, lasts bool) {
	step := strings.Split(task, ".")[2]
	for _, entry := range strings.Split(spec, ",") {
		fields := strings.Split(entry, ":")
		if len(fields) != 3 || fields[0] != step {
			continue
		}
		ms, _ := strconv.Atoi(fields[1])
		c, _ := strconv.ParseInt(fields[2], 10, 64)
		return time.Duration(ms) * time.Millisecond, c, ms == 0
	}
	return time.Second, 1000, false
}
