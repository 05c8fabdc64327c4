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

// capacity is what a runner has or a task takes.
type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

const (
	holdMax     = 10 * time.Second
	gangTimeout = 3 * time.Second
	stopTime    = 200 * time.Millisecond
	// maxListedEnds is how many ended runs one answer lists.
	maxListedEnds = 500
	// heartbeat is how often a runner checks its entry in service discovery.
	heartbeat = 1100 * time.Millisecond
)

// taskName is ID.K.STEP.INDEX.
type taskName struct {
	job            string
	k, step, index int
}

func parseTask(name string) (taskName, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	k, err1 := strconv.Atoi(parts[1])
	step, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	return taskName{parts[0], k, step, index}, err1 == nil && err2 == nil && err3 == nil
}

func (t taskName) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.job, t.k, t.step, t.index) }

// run is a task at work on a runner.
type run struct {
	task     taskName
	number   int
	began    time.Time
	timer    *time.Timer
	gang     *gang
	stopping bool
}

type endedRun struct {
	number     int64
	task       taskName
	run        int
	how, saved string
}

// gang is one run of a gang. It works from the moment when all of its members are present.
type gang struct {
	size    int
	members map[taskName]*life
	working bool
}

// life is one process of a runner. The fleet's mu guards it.
type life struct {
	runner  *runner
	born    int64
	booted  time.Time
	labels  []string
	token   int64
	lease   time.Time
	lapse   *time.Timer
	running map[string]*run // by task and run
	highest map[taskName]int
	ended   []endedRun
	nextEnd int64
	changed chan struct{}
	ready   bool
	dead    bool
	// answered is when a hold was last answered, by fencing token.
	answered map[int64]time.Time
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
}

// runner is a runner under one ID and address, in one life after the other.
type runner struct {
	fleet    *fleet
	id, addr string
	capacity capacity
	life     *life // nil while it is down
	listener net.Listener
	server   *http.Server
	draining bool
	sequence int
	// cut is whether orders get no answer although what was started runs on.
	cut bool
}

// fleet is all runners of the service.
type fleet struct {
	mu      sync.Mutex
	store   *metadataStore
	book    *book
	runners []*runner
	gangs   map[string]*gang
	// guards is whether runners refuse what does not fit.
	guards bool
	zone   string
	// startFault, if set, is called for each start that reaches a runner.
	startFault func(r *runner, t taskName, number int) orderFault
}

// orderFault is what happens to one order.
type orderFault struct {
	// late carries the order out that much later and answers nothing.
	late time.Duration
	// lost carries it out and answers nothing.
	lost bool
	// dropped does not carry it out and answers nothing.
	dropped bool
}

func newFleet(store *metadataStore, book *book) *fleet {
	return &fleet{store: store, book: book, gangs: map[string]*gang{}, guards: true, zone: "gliwice"}
}

// add creates a runner and starts its first life.
func (f *fleet) add(id string, c capacity, labels ...string) *runner {
	r := &runner{fleet: f, id: id, capacity: c}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	r.start(labels)
	return r
}

// start begins a life of the runner. Its entry in service discovery follows at once.
func (r *runner) start(labels []string) {
	f := r.fleet
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var listener net.Listener
	for {
		var err error
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	l := &life{runner: r, born: time.Now().UnixMilli(), booted: time.Now(), labels: labels, running: map[string]*run{},
		highest: map[taskName]int{}, answered: map[int64]time.Time{}, nextEnd: 1, changed: make(chan struct{}), ready: true}
	f.mu.Lock()
	r.addr, r.listener, r.life = listener.Addr().String(), listener, l
	r.server = &http.Server{Handler: l.handler()}
	server := r.server
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	f.book.note("runner %s starts, labels %v, born %d", r.id, labels, l.born)
	r.register()
	go l.beat()
}

// crash ends the life of a runner at once. Everything that runs there ends.
func (r *runner) crash() {
	f := r.fleet
	f.mu.Lock()
	l := r.life
	r.life = nil
	server := r.server
	if l != nil {
		l.dead = true
		for key, run := range l.running {
			run.timer.Stop()
			delete(l.running, key)
			f.book.ended(l, run, "crashed", 0)
			l.leaveGang(run, "broken")
		}
		close(l.changed)
		l.changed = make(chan struct{})
		if l.lapse != nil {
			l.lapse.Stop()
		}
	}
	f.mu.Unlock()
	_ = server.Close()
	f.book.note("runner %s crashes", r.id)
}

// lastAnswered returns the runners that were the last to answer the last hold with a token after a time.
func (f *fleet) lastAnswered(token int64, after time.Time, count int) []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var answered []*runner
	for _, r := range f.runners {
		if r.life != nil && r.life.answered[token].After(after) {
			answered = append(answered, r)
		}
	}
	sort.Slice(answered, func(a, b int) bool { return answered[a].life.answered[token].After(answered[b].life.answered[token]) })
	return answered[:min(count, len(answered))]
}

// highestToken returns the highest fencing token that a runner has seen.
func (f *fleet) highestToken() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := int64(0)
	for _, r := range f.runners {
		if r.life != nil {
			highest = max(highest, r.life.token)
		}
	}
	return highest
}

// register writes the runner's entry in service discovery.
func (r *runner) register() {
	f := r.fleet
	f.mu.Lock()
	l := r.life
	if l == nil {
		f.mu.Unlock()
		return
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{"service": f.book.service, "address": r.addr, "zone": f.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": r.capacity, "labels": l.labels, "clock_ms": l.clock().Milliseconds(), "sequence": r.sequence,
		"machine": "m-" + r.id, "born": l.born}
	f.mu.Unlock()
	f.store.put(rowKey{Table: "servers", Key: r.id}, entry)
}

// beat renews the entry for as long as the life lasts.
func (l *life) beat() {
	for {
		time.Sleep(heartbeat)
		l.runner.fleet.mu.Lock()
		dead := l.dead
		l.runner.fleet.mu.Unlock()
		if dead {
			return
		}
		l.runner.register()
	}
}

func (l *life) clock() time.Duration { return time.Since(l.booted) }

func runKey(t taskName, number int) string { return t.String() + "#" + strconv.Itoa(number) }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(w http.ResponseWriter, r *http.Request, o order)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("Currantthread-Expect-Instance"); want != "" && want != l.runner.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			l.runner.fleet.mu.Lock()
			cut := l.runner.cut
			l.runner.fleet.mu.Unlock()
			if cut {
				unanswered(r)
			}
			serve(w, r, o)
		})
	}
	handle("/v1/run-start", l.serveStart)
	handle("/v1/run-stop", l.serveStop)
	handle("/v1/hold", l.serveHold)
	handle("/v1/pace", l.servePace)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func (l *life) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	writeJSON(w, status, body)
}

// extend moves the end of the lease, which never shortens. The caller holds the fleet's mu.
func (l *life) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	end := l.booted.Add(min(time.Duration(deadlineMs)*time.Millisecond, l.clock()+holdMax))
	if !end.After(l.lease) {
		return
	}
	l.lease = end
	if l.lapse != nil {
		l.lapse.Stop()
	}
	l.lapse = time.AfterFunc(time.Until(end), func() {
		f := l.runner.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		if l.dead || time.Now().Before(l.lease) {
			return
		}
		l.lapsedAt = time.Now()
		for _, r := range l.running {
			l.end(r, "lapsed")
		}
	})
}

func (l *life) serveStart(w http.ResponseWriter, r *http.Request, o order) {
	f := l.runner.fleet
	task, ok := parseTask(o.Task)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fault orderFault
	f.mu.Lock()
	if f.startFault != nil {
		fault = f.startFault(l.runner, task, o.Run)
	}
	switch {
	case fault.dropped:
		f.mu.Unlock()
		unanswered(r)
	case fault.late > 0:
		f.mu.Unlock()
		time.AfterFunc(fault.late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !l.dead {
				l.start(task, o)
			}
		})
		unanswered(r)
	}
	reason := "dead"
	if !l.dead {
		reason = l.start(task, o)
	}
	f.mu.Unlock()
	if fault.lost || reason == "dead" {
		unanswered(r)
	}
	l.answer(w, reason)
}

// start executes a start order and returns why it was refused. The caller holds the fleet's mu.
func (l *life) start(task taskName, o order) (refused string) {
	if o.FencingToken < l.token {
		return "fence"
	}
	l.token = o.FencingToken
	if l.running[runKey(task, o.Run)] != nil {
		l.extend(o.DeadlineMs)
		return ""
	}
	switch {
	case o.Run <= l.highest[task]:
		l.extend(o.DeadlineMs)
		return "old"
	case o.DeadlineMs <= l.clock().Milliseconds() && !l.lease.After(time.Now()):
		return "late"
	}
	for _, other := range l.running {
		if other.task == task && other.number > o.Run {
			return "old"
		}
	}
	l.extend(o.DeadlineMs)
	f := l.runner.fleet
	step := f.book.stepOf(task)
	if step != nil && f.guards && !l.fits(step) {
		return "room"
	}
	run := &run{task: task, number: o.Run, began: time.Now(), timer: time.NewTimer(time.Hour)}
	l.running[runKey(task, o.Run)] = run
	f.book.started(l, run, o)
	l.work(run, step)
	l.notify()
	return ""
}

// used returns what the runs on the runner take.
func (l *life) used() capacity {
	var used capacity
	for _, r := range l.running {
		if s := l.runner.fleet.book.stepOf(r.task); s != nil {
			if !s.Fills {
				used.CPU += s.CPU
			}
			used.MemMB += s.MemMB
			used.GPU += s.GPU
		}
	}
	return used
}

func (l *life) fits(s *step) bool {
	used, has := l.used(), l.runner.capacity
	cpu := s.CPU
	if s.Fills {
		cpu = 0
	}
	return used.CPU+cpu <= has.CPU && used.MemMB+s.MemMB <= has.MemMB && used.GPU+s.GPU <= has.GPU
}

// work lets a run work until its end. The caller holds the fleet's mu.
func (l *life) work(r *run, s *step) {
	f := l.runner.fleet
	if s == nil || s.LongRunning && !s.endsAnyway {
		return
	}
	how := "done"
	if s.fails != nil && s.fails(r.task, r.number) {
		how = "failed"
	}
	finish := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !l.dead && l.running[runKey(r.task, r.number)] == r && !r.stopping {
			l.end(r, how)
		}
	}
	if !s.Gang {
		r.timer = time.AfterFunc(s.takes, finish)
		return
	}
	key := fmt.Sprintf("%s.%d.%d#%d", r.task.job, r.task.k, r.task.step, r.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{size: s.Count, members: map[taskName]*life{}}
		f.gangs[key] = g
	}
	r.gang = g
	g.members[r.task] = l
	r.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !l.dead && !g.working && l.running[runKey(r.task, r.number)] == r {
			l.end(r, "alone")
		}
	})
	if len(g.members) == g.size {
		g.working = true
		r.timer = time.AfterFunc(s.takes, finish)
	}
}

// leaveGang ends the other members of a run's gang. The caller holds the fleet's mu.
func (l *life) leaveGang(r *run, how string) {
	g := r.gang
	if g == nil || g.members[r.task] != l {
		return
	}
	delete(g.members, r.task)
	for task, on := range g.members {
		if other := on.running[runKey(task, r.number)]; other != nil {
			delete(g.members, task)
			on.end(other, how)
		}
	}
}

// end ends a run and lists its end. The caller holds the fleet's mu.
func (l *life) end(r *run, how string) {
	key := runKey(r.task, r.number)
	if l.running[key] != r {
		return
	}
	r.timer.Stop()
	delete(l.running, key)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.ended = append(l.ended, endedRun{l.nextEnd, r.task, r.number, how, ""})
	l.runner.fleet.book.ended(l, r, how, l.nextEnd)
	l.nextEnd++
	others := "broken"
	if how == "done" {
		others = "done"
	}
	l.leaveGang(r, others)
	l.notify()
}

func (l *life) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) serveStop(w http.ResponseWriter, r *http.Request, o order) {
	task, ok := parseTask(o.Task)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := l.runner.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.FencingToken < l.token {
		l.answer(w, "fence")
		return
	}
	l.token = o.FencingToken
	found := l.running[runKey(task, o.Run)]
	if found == nil {
		l.highest[task] = max(l.highest[task], o.Run)
	} else if !found.stopping {
		found.stopping = true
		time.AfterFunc(stopTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !l.dead {
				l.end(found, "stopped")
			}
		})
	}
	l.answer(w, "")
}

func (l *life) servePace(w http.ResponseWriter, _ *http.Request, o order) {
	l.runner.fleet.mu.Lock()
	defer l.runner.fleet.mu.Unlock()
	if o.FencingToken < l.token {
		l.answer(w, "fence")
		return
	}
	l.token = o.FencingToken
	l.answer(w, "")
}

func (l *life) serveHold(w http.ResponseWriter, r *http.Request, o order) {
	f := l.runner.fleet
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	expired := o.WaitMs == 0
	f.mu.Lock()
	for first := true; ; first = false {
		if l.dead {
			f.mu.Unlock()
			unanswered(r)
		}
		if o.FencingToken < l.token {
			l.answer(w, "fence")
			f.mu.Unlock()
			return
		}
		l.token = o.FencingToken
		if first {
			l.extend(o.DeadlineMs)
			l.acknowledge(o.AckCursor)
		}
		if expired || len(l.ended) > 0 {
			body := l.report()
			l.answered[o.FencingToken] = time.Now()
			f.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
			return
		}
		changed := l.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
}

// acknowledge forgets the ends up to a number. The caller holds the fleet's mu.
func (l *life) acknowledge(cursor int64) {
	kept := l.ended[:0:0]
	for _, e := range l.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		l.runner.fleet.book.acknowledged(l, e)
	}
	l.ended = kept
}

// report lists the runs and the ends that are not acknowledged. The caller holds the fleet's mu.
func (l *life) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := 100
		if s := l.runner.fleet.book.stepOf(r.task); s != nil && s.takes > 0 && !s.LongRunning {
			percent = min(int(100*time.Since(r.began)/s.takes), 99)
		}
		running = append(running, []any{r.task.String(), r.number, "", percent, 1})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	for _, e := range l.ended[:min(len(l.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born, "running": running, "ended_runs": ended}
}
