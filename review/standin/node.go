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
	"sync"
	"syscall"
	"time"
)

const (
	loopback = "127.0.0.1"
	program  = "target/currantthread"
	host     = "jobs.example"
	// clientDeadline is the deadline of the clients' requests.
	clientDeadline = 3 * time.Second
)

// node is a process of the system on its VM.
type node struct {
	name, file, log string
	client, ready   string
	internal        int
	mu              sync.Mutex
	cmd             *exec.Cmd
	ended           chan struct{}
}

// freePorts returns the first of a number of consecutive free ports.
func freePorts(count int) (int, error) {
	for first := 21000 + os.Getpid()%500*20; first < 60000; first += 20 {
		var listeners []net.Listener
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, first+i))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == count {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", count)
}

// world is a small deployment: the store, the runners, the nodes and what was seen.
type world struct {
	dir   string
	book  *book
	store *metadataStore
	fleet *fleet
	nodes []*node
	http  *http.Client
	// advice is the address of the advice service; empty if there is none.
	advice string
	// version is that of the configuration.
	version int
}

func newWorld(record string, nodes int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b, err := newBook(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, book: b, store: newMetadataStore(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.fleet = newFleet(w.store, b)
	first, err := freePorts(nodes * 5)
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		port := first + 5*i
		n := &node{name: fmt.Sprintf("edge-gliwice-%d", i+1), internal: port, client: fmt.Sprintf("%s:%d", loopback, port+2),
			ready: fmt.Sprintf("%s:%d", loopback, port+3)}
		n.file, n.log = filepath.Join(dir, n.name+".toml"), filepath.Join(dir, n.name+".log")
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(listener, w.store.handler(n.name)) }()
		if err := n.writeSettings(listener.Addr().String(), w.advice); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

func (n *node) writeSettings(store, advice string) error {
	settings := fmt.Sprintf(`node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = "gliwice"
region = "slask"
internal_ports = [%d, %d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1100
orders = "call"
advice = %q
[zones]
gliwice = "slask"
[listen_addrs]
frontend = %q
readiness = %q
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
grace_s = 6
config_apply_ms = 2500
evacuate_ms = 5000
hold_max_ms = 10000
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
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
`, n.name, loopback, n.internal, n.internal+1, advice, n.client, n.ready, store)
	return os.WriteFile(n.file, []byte(settings), 0o600)
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if n.cmd != nil {
		return nil
	}
	cmd := exec.Command(program, "node")
	cmd.Env = append(os.Environ(), "CURRANTTHREAD_CONFIG="+n.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.cmd = nil
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// exited reports whether the process has ended by itself.
func (n *node) exited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	Name               string         `json:"name"`
	Host               string         `json:"host"`
	PathPrefix         string         `json:"path_prefix"`
	Kind               string         `json:"kind"`
	TimeoutMs          int            `json:"timeout_ms"`
	TargetCompletionMs int            `json:"target_completion_ms"`
	Priority           int            `json:"priority"`
	Service            string         `json:"service"`
	MaxAttempts        int            `json:"max_attempts"`
	Stretch            float64        `json:"stretch"`
	Advice             map[string]int `json:"advice,omitempty"`
}

// configure writes a version of the configuration with one route.
func (w *world) configure(version int, r route) {
	w.store.put(rowKey{Table: "op", Key: "config"}, map[string]any{"version": version, "routes": []route{r},
		"services": []map[string]any{{"name": w.book.service, "health_path": "/health", "max_connections": 64, "protocol": "h1",
			"rejects_overload": w.fleet.guards, "standby": false}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// addRunners adds runners of one kind.
func (w *world) addRunners(count int) {
	for i := range count {
		w.fleet.add(fmt.Sprintf("i-%04d", i), capacity{CPU: 64000, MemMB: 250000}, "a", "r1-1")
	}
}

func (w *world) queue() route {
	return route{Name: "r-1", Host: host, PathPrefix: "/jobs/", Kind: "unsafe", TimeoutMs: 3000, TargetCompletionMs: 1000, Priority: 0,
		Service: w.book.service, MaxAttempts: w.book.maxAttempts, Stretch: 2}
}

// startNodes starts all processes and waits until they are ready and know the runners.
func (w *world) startNodes() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for {
			res, err := w.http.Get("http://" + n.ready + "/v1/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// owner returns the node that owns the cell according to the ownership row, or nil.
func (w *world) owner() *node {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for key, r := range w.store.rows {
		if key.Table != "cells" {
			continue
		}
		var row struct {
			Node string `json:"node"`
		}
		if json.Unmarshal(r.Value, &row) != nil {
			continue
		}
		for _, n := range w.nodes {
			if n.name == row.Node {
				return n
			}
		}
	}
	return nil
}

// other returns a node that is not the given one.
func (w *world) other(n *node) *node {
	for _, o := range w.nodes {
		if o != n {
			return o
		}
	}
	return nil
}

// call sends a request to a node and returns the status, 0 if there was no answer within the deadline.
func (w *world) call(n *node, method, path string, body any, deadline time.Duration) (status int, answer string) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, "http://"+n.client+path, reader)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Currantthread-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := *w.http
	client.Timeout = deadline
	began := time.Now()
	res, err := client.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(io.LimitReader(res.Body, 1<<16))
		_ = res.Body.Close()
		if readErr == nil {
			status, answer = res.StatusCode, string(data)
		}
	}
	w.book.note("client: %s %s to %s: status %d %.100s after %.3f s", method, path, n.name, status, answer, time.Since(began).Seconds())
	return status, answer
}

// submit sends a job once.
func (w *world) submit(n *node, j *job, deadline time.Duration) int {
	w.book.add(j)
	status, _ := w.call(n, http.MethodPost, "/jobs/"+j.ID, j, deadline)
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	switch {
	case status >= 200 && status < 300:
		if j.acceptedAt.IsZero() {
			j.acceptedAt = time.Now()
		}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		j.rejected++
	default:
		j.otherwise++
	}
	return status
}

// cancel sends a cancellation once. 2xx and 410 acknowledge it.
func (w *world) cancel(n *node, j *job) int {
	status, _ := w.call(n, http.MethodDelete, "/jobs/"+j.ID, nil, clientDeadline)
	if status >= 200 && status < 300 || status == http.StatusGone {
		w.book.mu.Lock()
		if j.cancelledAt.IsZero() {
			j.cancelledAt = time.Now()
		}
		w.book.mu.Unlock()
	}
	return status
}

// state asks for the state of a job.
func (w *world) state(n *node, id string) (int, string) {
	status, answer := w.call(n, http.MethodGet, "/jobs/"+id, nil, clientDeadline)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	return status, body.State
}
