package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	// heartbeat is how often a runner rewrites its row of service discovery.
	heartbeat = time.Second
	host      = "127.0.0.1"
	service   = "kioscos"
	queueHost = "jobs.example"
	prefix    = "/jobs/"
)

// process is one node.
type process struct {
	name, clientAddr, file, log string

	mu  sync.Mutex // owned by the methods of process
	cmd *exec.Cmd
}

const (
	// firstPort begins the ports of nodes, below those that the system gives to clients. Each seed has a range of its own,
	// so that runs beside each other never take each other's ports while a node is down.
	firstPort    = 20_000
	portsPerSeed = 40
	seedRanges   = 300
	portsPerNode = 4
)

// newProcess writes a node's settings.
func newProcess(dir string, seed uint64, index int, storeAddr string) (*process, error) {
	var ports [portsPerNode]int
	for i := range ports {
		ports[i] = firstPort + int(seed%seedRanges)*portsPerSeed + index*portsPerNode + i
	}
	name := fmt.Sprintf("node-%d", index)
	p := &process{name: name, clientAddr: fmt.Sprintf("%s:%d", host, ports[0]),
		file: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	settings := fmt.Sprintf(`node_name = %q
ip = %q
zone = "chipre"
region = "caldas-centro"
internal_ports = [%d, %d]
orders = "call"
[zones]
chipre = "caldas-centro"
[listen_addrs]
frontend = %q
readiness = "%s:%d"
[limits]
cpu_share = 0.4
link_mbps = 1000.0
[bounds]
hold_max_ms = 10000
grace_s = 6
stop_timeout_ms = 900
gang_timeout_ms = 3000
status_s = 120
[platform]
address = %q
form = "table"
across = true
`, name, host, ports[2], ports[2]+1, p.clientAddr, host, ports[1], storeAddr)
	return p, os.WriteFile(p.file, []byte(settings), 0o600)
}

// start starts the node; its log is appended to.
func (p *process) start(program string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "node", "--config", p.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// signal sends a signal to the node if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // the process may have ended by itself
	}
}

// end waits for the node's end after a signal.
func (p *process) end(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Wait() // its exit code after a kill says nothing
		p.cmd = nil
	}
}

// owns reports whether the node's log says that it owns the cell.
func (p *process) owns() bool {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	log := string(data)
	return strings.LastIndex(log, "acquired the cell") > max(strings.LastIndex(log, "lost ownership"), strings.LastIndex(log, "released the cell"), strings.LastIndex(log, "\"started\""))
}

// world is the emulated platform.
type world struct {
	store     *emulator.Store
	fleet     *emulator.Fleet
	storeAddr string
	infos     []runner.Info
	servers   []*http.Server
	stop      chan struct{}
}

func listen(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, listener.Addr().String(), nil
}

func newWorld(runners int, work emulator.Work) (*world, error) {
	w := &world{store: emulator.NewStore(), fleet: emulator.NewFleet(work), stop: make(chan struct{})}
	server, addr, err := listen(platform.NewStoreServer(w.store))
	if err != nil {
		return nil, err
	}
	w.storeAddr = addr
	w.servers = append(w.servers, server)
	for i := range runners {
		id := fmt.Sprintf("i-%02d", i)
		server, addr, err := listen(platform.NewRunnerServer(id, w.fleet))
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, server)
		info := runner.Info{ID: id, Service: service, Addr: addr, Domain: "chipre", Born: time.Now().UnixMilli(),
			Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}, Labels: []string{"a", fmt.Sprintf("r%d", i/8)}}
		w.infos = append(w.infos, info)
		w.fleet.Add(info)
	}
	return w, w.configure()
}

func (w *world) configure() error {
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": service, "rejects_overload": true}},
		"routes": []map[string]any{{"name": "q", "host": queueHost, "path_prefix": prefix, "service": service, "timeout_ms": 3000,
			"target_completion_ms": 1000, "max_attempts": 3, "stretch": 2}},
	})
	if err != nil {
		return err
	}
	w.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, config)
	go w.beat()
	return nil
}

// beat rewrites the rows of living runners and drops those of dead ones.
func (w *world) beat() {
	for {
		for _, info := range w.infos {
			key := store.Key{Table: platform.TableServers, Name: info.ID}
			current, alive := w.fleet.Info(info.ID)
			if !alive {
				w.store.Drop(key)
				continue
			}
			row, err := platform.EncodeRunner(current)
			if err == nil {
				w.store.Put(key, row)
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *world) close() {
	close(w.stop)
	for _, s := range w.servers {
		_ = s.Close()
	}
}
