package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment kioscos-reserva.
const (
	holdMaxMs     = 10_000
	stopMs        = 300
	gangTimeoutMs = 3000
	heartbeatMs   = 1100
	graceS        = 6
	serviceName   = "kioscos"
	queueHost     = "jobs.example"
	queuePrefix   = "/jobs/"
)

var zones = []string{"chipre", "la-enea", "cartago"}

// world is the platform with the system's processes.
type world struct {
	dir     string
	record  *record
	store   *store
	runners []*runner
	nodes   []*node
	stop    chan struct{}
	client  *http.Client

	gangMu sync.Mutex // guards gangs
	gangs  map[string]*gang
}

func newWorld(nodes, runners int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: newRecord(), store: newStore(), stop: make(chan struct{}), gangs: map[string]*gang{},
		client: &http.Client{Timeout: 3 * time.Second}}
	w.putConfig(1)
	for i := range runners {
		if err := w.addRunner(i, zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	port, err := freePorts(nodes)
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		n, err := w.newNode(i, port)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

func (w *world) putConfig(version int) {
	w.store.put("op", "config", map[string]any{
		"version":  version,
		"limits":   map[string]any{"max_body_bytes": 262144},
		"services": []any{map[string]any{"name": serviceName, "rejects_overload": true, "health_path": "/health"}},
		"routes": []any{map[string]any{"name": "q", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName,
			"timeout_ms": 3000, "max_attempts": 4, "stretch": 2, "target_completion_ms": 1000, "priority": 0}},
	})
}

// node is one VM of the system with its process.
type node struct {
	world *world
	name  string
	ip    string
	port  int
	front *storeFront
	file  string
	log   string

	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{}
}

const portsPerNode = 5

// freePorts returns the first of portsPerNode ports that are free on each of the nodes' addresses.
func freePorts(nodes int) (int, error) {
	for port := 21_000 + os.Getpid()%1000*9; port < 32_000; port += portsPerNode {
		free := true
		for i := range nodes {
			for k := range portsPerNode {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), port+k))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func nodeIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func (w *world) newNode(i, port int) (*node, error) {
	n := &node{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: nodeIP(i), port: port, front: &storeFront{store: w.store}}
	n.file, n.log = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: n.front}
	go func() { _ = server.Serve(listener) }() // ends with the process
	zone := zones[i%len(zones)]
	settings := fmt.Sprintf(`node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "caldas-centro"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
orders = "call"
[zones]
chipre = "caldas-centro"
la-enea = "caldas-centro"
cartago = "caldas-centro"
[listen_addrs]
frontend = "%s:%d"
readiness = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 2500
grace_s = %d
hold_max_ms = %d
stop_timeout_ms = 900
gang_timeout_ms = %d
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
require_fencing = false
lease_ms = 3000
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
`, n.name, n.ip, zone, port, port+2, heartbeatMs, n.ip, port+3, n.ip, port+4, graceS, holdMaxMs, gangTimeoutMs, listener.Addr().String())
	return n, os.WriteFile(n.file, []byte(settings), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/currantthread", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CURRANTTHREAD_CONFIG=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan struct{})
	done := n.done
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			n.cmd = nil
		}
		n.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig) // the process may have ended
	}
}

// kill ends the node's process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // the process may have ended
		<-done
	}
}

func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for {
			res, err := w.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.ip, n.port+4))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.kill()
	}
}

// ownerRow is what the system's row about the owner of its only cell says.
type ownerRow struct {
	Node      string `json:"node"`
	Witnesses []struct {
		Node string `json:"node"`
	} `json:"witnesses"`
}

// ownerRow returns the node that last wrote to the store under the condition of its ownership, as the platform sees it, and that row.
func (w *world) ownerRow() (*node, ownerRow) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for k, r := range w.store.rows {
		var o ownerRow
		if k.Table != "cells" || json.Unmarshal(r.Value, &o) != nil {
			continue
		}
		for _, n := range w.nodes {
			if n.name == o.Node {
				return n, o
			}
		}
	}
	return nil, ownerRow{}
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimatedMs  int    `json:"estimated_ms"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// job is a job as its client knows it.
type job struct {
	id          string
	spec        taskSpec
	steps       []step
	repeat      int
	startAt     time.Time
	interval    time.Duration
	accepted    bool
	refusedOnly bool // all attempts were rejected
	cancelSent  time.Time
	cancelled   time.Time // when the cancelling was acknowledged
}

func (j *job) specText() string {
	text, err := json.Marshal(j.spec)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// call sends one request of a client and returns the status, or 0 if there was no response.
func (w *world) call(n *node, method, id string, body any) (int, []byte) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body) // the bodies are of known types
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", n.ip, n.port+3, queuePrefix, id), bytes.NewReader(encoded))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Currantthread-Deadline-Ms", "3000")
	res, err := w.client.Do(req)
	if err != nil {
		w.record.note("%s %s to %s: no answer", method, id, n.name)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	w.record.note("%s %s to %s: %d %s", method, id, n.name, res.StatusCode, bytes.TrimSpace(answer))
	return res.StatusCode, answer
}

// submit hands a job in, at one node after another as retries do.
func (w *world) submit(j *job, first int) {
	body := map[string]any{"spec": j.specText(), "steps": j.steps}
	if j.repeat > 0 {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.repeat, j.startAt.UnixMilli(), j.interval.Milliseconds()
	}
	w.record.job(j)
	j.refusedOnly = true
	for attempt := range 5 {
		status, _ := w.call(w.nodes[(first+attempt)%len(w.nodes)], http.MethodPost, j.id, body)
		if status == http.StatusOK {
			j.accepted = true
			return
		}
		j.refusedOnly = j.refusedOnly && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		time.Sleep(400 * time.Millisecond)
	}
}

// state asks nodes for a job's state until one answers.
func (w *world) state(j *job, first int) string {
	for attempt := range len(w.nodes) {
		status, answer := w.call(w.nodes[(first+attempt)%len(w.nodes)], http.MethodGet, j.id, nil)
		var body struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal(answer, &body) == nil:
			return body.State
		case status == http.StatusGone:
			return "410"
		}
	}
	return ""
}

func (w *world) cancel(j *job, first int) bool {
	j.cancelSent = time.Now()
	for attempt := range 8 {
		if status, _ := w.call(w.nodes[(first+attempt)%len(w.nodes)], http.MethodDelete, j.id, nil); status == http.StatusOK || status == http.StatusGone {
			j.cancelled = time.Now()
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}
