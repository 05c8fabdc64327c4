package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "kioscos"
	queueHost   = "reservas.example"
	pathPrefix  = "/reserva/"
	// heartbeat is how often a runner writes its entry, and silence after how long without one the platform removes it.
	heartbeat = 1100 * time.Millisecond
	silence   = 3 * heartbeat
	// deadlineMs is how long a client waits for an answer.
	deadlineMs = 3000
)

// world is a small deployment on loopback addresses: the store, runners, nodes and a client, and what they have seen.
type world struct {
	began    time.Time
	dir      string
	store    *store
	storeURL string
	machines []*machine
	nodes    []*node
	client   *http.Client
	daemon   string

	mu    sync.Mutex // guards the fields below
	lines []string
	runs  []*observedRun
	ends  map[string][]*observedEnd
	lapse map[string]time.Time
	// broken are the rules that were broken, with what was seen.
	broken []string
}

// observedRun is a run as the runners have seen it.
type observedRun struct {
	task, runner string
	run          int
	began, ended time.Time
}

// observedEnd is an end of a task as done.
type observedEnd struct {
	runner string
	run    int
	at     time.Time
	// noted is when the end was acknowledged, unless the runner's lease had lapsed in between.
	noted time.Time
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), dir: dir, store: newStore(), ends: map[string][]*observedEnd{}, lapse: map[string]time.Time{},
		client: &http.Client{Timeout: (deadlineMs + 500) * time.Millisecond}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeURL = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(listener) }()
	return w, nil
}

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
	fmt.Println(line)
}

func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.recordLocked("BROKEN %s", text)
}

// started records a start and checks the rule TWICE: no other run of the task is under way, and none has ended done with an end that was noted.
func (w *world) started(task string, number int, runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked("START %s run %d on %s", task, number, runner)
	for _, other := range w.runs {
		if other.task == task && other.ended.IsZero() {
			w.breakRule("TWICE: %s run %d starts on %s while run %d is at work on %s", task, number, runner, other.run, other.runner)
		}
	}
	for _, e := range w.ends[task] {
		if !e.noted.IsZero() {
			w.breakRule("TWICE: %s run %d starts on %s after run %d has ended done on %s, which was taken note of", task, number, runner, e.run, e.runner)
		}
	}
	w.runs = append(w.runs, &observedRun{task: task, runner: runner, run: number, began: time.Now()})
}

func (w *world) ended(task string, number int, runner, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked("END %s run %d on %s: %s", task, number, runner, how)
	for _, r := range w.runs {
		if r.task == task && r.run == number && r.runner == runner && r.ended.IsZero() {
			r.ended = time.Now()
		}
	}
	if how == "done" {
		w.ends[task] = append(w.ends[task], &observedEnd{runner: runner, run: number, at: time.Now()})
	}
}

func (w *world) lapsed(runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse[runner] = time.Now()
	w.recordLocked("lease of %s lapsed", runner)
}

// acknowledged records that an end was taken note of, unless the runner's lease has lapsed since the end.
func (w *world) acknowledged(runner string, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked("ACK of the end of %s run %d on %s (%s)", e.task, e.run, runner, e.how)
	if w.lapse[runner].After(e.at) {
		return
	}
	for _, o := range w.ends[e.task] {
		if o.runner == runner && o.run == e.run && o.noted.IsZero() {
			o.noted = time.Now()
		}
	}
	if e.how != "done" {
		return
	}
	for _, r := range w.runs {
		if r.task == e.task && r.began.After(e.at) {
			w.breakRule("TWICE: %s run %d was started on %s after run %d had ended done on %s, which is now taken note of", r.task, r.run, r.runner, e.run, runner)
		}
	}
}

// runnerOf returns the machine on which a task runs, or nil.
func (w *world) runnerOf(task string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.task != task || !r.ended.IsZero() {
			continue
		}
		for _, m := range w.machines {
			if m.id == r.runner {
				return m
			}
		}
	}
	return nil
}

// addRunners starts runners.
func (w *world) addRunners(count int, zones []string, labels func(i int) []string) {
	for i := range count {
		m := &machine{id: fmt.Sprintf("i-%012x", 0x5f3a91c200+i*7919), zone: zones[i%len(zones)], labels: labels(i), cpu: 64000, world: w, registerNow: make(chan struct{}, 1)}
		m.mu.Lock()
		m.boot()
		m.mu.Unlock()
		w.machines = append(w.machines, m)
		go w.register(m)
	}
}

// register writes a runner's entry in service discovery while its process runs, and removes it after some silence.
func (w *world) register(m *machine) {
	last, listed := time.Now(), false
	for {
		if entry := m.entry(); entry != nil {
			w.store.put("servers", m.id, entry)
			last, listed = time.Now(), true
		} else if listed && time.Since(last) > silence {
			w.store.remove("servers", m.id)
			listed = false
		}
		select {
		case <-time.After(heartbeat):
		case <-m.registerNow:
		}
	}
}

// configure writes the first configuration.
func (w *world) configure() {
	w.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-1", "host": queueHost, "path_prefix": pathPrefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_completion_ms": 500, "priority": 0, "service": serviceName, "max_attempts": 4, "stretch": 1.5, "allowed_regions": []string{}}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": true, "standby": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// node is one process of the system.
type node struct {
	name, zone, frontend, readiness, file, log string
	world                                      *world
	cmd                                        *exec.Cmd
	ended                                      chan struct{}
}

// freePorts returns the first of some consecutive free ports.
func freePorts(count int) int {
	for {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		first := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		free := first+count < 65536
		for port := first; free && port < first+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
}

const settingsText = `node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "caldas-centro"
internal_ports = [%d,%d]
seeds = []
bootstrap = %v
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
chipre = "caldas-centro"
la-enea = "caldas-centro"
[listen_addrs]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
grace_s = 6
hold_max_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
`

// addNodes starts nodes.
func (w *world) addNodes(daemon string, zones []string) error {
	w.daemon = daemon
	for i, zone := range zones {
		first := freePorts(4)
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, world: w, frontend: fmt.Sprintf("127.0.0.1:%d", first+2),
			readiness: fmt.Sprintf("127.0.0.1:%d", first+3)}
		n.file, n.log = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
		text := fmt.Sprintf(settingsText, n.name, zone, first, first+1, true, heartbeat.Milliseconds(), n.frontend, n.readiness, w.storeURL)
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(daemon); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) start(daemon string) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := append(strings.Fields(daemon), "node")
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = append(os.Environ(), "CURRANTTHREAD_CONFIG="+n.file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	n.world.record("node %s started", n.name)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.world.record("node %s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// stop ends the nodes.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
}

// owner returns the node that owns the only cell, by the store.
func (w *world) owner() *node {
	var owner struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(w.store.value("cells", "c0", "owner"), &owner)
	for _, n := range w.nodes {
		if n.name == owner.Node {
			return n
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if res, err := w.client.Get("http://" + n.readiness + "/v1/ready"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.nodes) {
			w.record("all nodes are ready")
			return true
		}
	}
	return false
}

// call sends a request of the client to a node and returns the status, 0 without an answer, and the body.
func (w *world) call(method string, n *node, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.frontend+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Currantthread-Deadline-Ms", fmt.Sprint(deadlineMs))
	res, err := w.client.Do(req)
	if err != nil {
		w.record("client %s %s at %s: no answer (%v)", method, id, n.name, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		w.record("client %s %s at %s: broken off", method, id, n.name)
		return 0, ""
	}
	w.record("client %s %s at %s: %d %s", method, id, n.name, res.StatusCode, strings.TrimSpace(string(answer)))
	return res.StatusCode, string(answer)
}

// submit submits a job, at one node after another, until it is accepted.
func (w *world) submit(id string, job any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	for attempt := range 20 {
		if status, _ := w.call(http.MethodPost, w.nodes[attempt%len(w.nodes)], id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// save writes the record.
func (w *world) save(file string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if file != "" {
		_ = os.WriteFile(file, []byte(strings.Join(w.lines, "\n")+"\n"), 0o600)
	}
}
