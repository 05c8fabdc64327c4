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
	// heartbeatInterval is how often each runner rewrites its service discovery row.
	heartbeatInterval = time.Second
	loopback          = "127.0.0.1"
	serviceName       = "kioscos"
	queueHost         = "jobs.example"
	jobPathPrefix     = "/jobs/"
)

// process is the process of one node.
type process struct {
	name, clientAddr, file, log string

	mu  sync.Mutex // guards cmd
	cmd *exec.Cmd
}

const (
	// firstPort starts the port range of the nodes, below the ephemeral ports of the system. Each seed has its own part of the
	// range, so that a concurrent run does not bind the ports of a node that is down.
	firstPort    = 20_000
	portsPerSeed = 40
	seedRanges   = 300
	portsPerNode = 4
)

// newProcess writes a node's settings file and returns the node, which is not started.
func newProcess(dir string, seed uint64, index int, storeAddr string) (*process, error) {
	var ports [portsPerNode]int
	for i := range ports {
		ports[i] = firstPort + int(seed%seedRanges)*portsPerSeed + index*portsPerNode + i
	}
	name := fmt.Sprintf("node-%d", index)
	p := &process{name: name, clientAddr: fmt.Sprintf("%s:%d", loopback, ports[0]),
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
`, name, loopback, ports[2], ports[2]+1, p.clientAddr, loopback, ports[1], storeAddr)
	return p, os.WriteFile(p.file, []byte(settings), 0o600)
}

// start starts the node and appends its output to the log file.
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

// signal sends a signal to the node if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // the process may have ended by itself
	}
}

// signalAndWait sends a signal to the node and waits until it has ended.
func (p *process) signalAndWait(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Wait() // the exit code after a signal is not of interest
		p.cmd = nil
	}
}

// ownsCell reports whether the node owns the cell according to its log.
func (p *process) ownsCell() bool {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	log := string(data)
	return strings.LastIndex(log, "acquired the cell") > max(strings.LastIndex(log, "lost ownership"), strings.LastIndex(log, "released the cell"), strings.LastIndex(log, "\"started\""))
}

// emulatedPlatform is the store and the runners that the nodes use, each behind an HTTP server.
type emulatedPlatform struct {
	store     *emulator.Store
	fleet     *emulator.Fleet
	storeAddr string
	infos     []runner.Info
	servers   []*http.Server
	stop      chan struct{}
}

func listen(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, listener.Addr().String(), nil
}

func newEmulatedPlatform(runners int, work emulator.Work) (*emulatedPlatform, error) {
	e := &emulatedPlatform{store: emulator.NewStore(), fleet: emulator.NewFleet(work), stop: make(chan struct{})}
	server, addr, err := listen(platform.NewStoreServer(e.store))
	if err != nil {
		return nil, err
	}
	e.storeAddr = addr
	e.servers = append(e.servers, server)
	for i := range runners {
		id := fmt.Sprintf("i-%02d", i)
		server, addr, err := listen(platform.NewRunnerServer(id, e.fleet))
		if err != nil {
			return nil, err
		}
		e.servers = append(e.servers, server)
		info := runner.Info{ID: id, Service: serviceName, Addr: addr, Domain: "chipre", Born: time.Now().UnixMilli(),
			Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}, Labels: []string{"a", fmt.Sprintf("r%d", i/8)}}
		e.infos = append(e.infos, info)
		e.fleet.Add(info)
	}
	return e, e.configure()
}

func (e *emulatedPlatform) configure() error {
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": serviceName, "rejects_overload": true}},
		"routes": []map[string]any{{"name": "q", "host": queueHost, "path_prefix": jobPathPrefix, "service": serviceName, "timeout_ms": 3000,
			"target_completion_ms": 1000, "max_attempts": 3, "stretch": 2}},
	})
	if err != nil {
		return err
	}
	e.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, config)
	go e.sendHeartbeats()
	return nil
}

// sendHeartbeats periodically rewrites the rows of live runners and deletes those of crashed ones.
func (e *emulatedPlatform) sendHeartbeats() {
	for {
		for _, info := range e.infos {
			key := store.Key{Table: platform.TableServers, Name: info.ID}
			current, alive := e.fleet.Info(info.ID)
			if !alive {
				e.store.Delete(key)
				continue
			}
			row, err := platform.EncodeRunner(current)
			if err == nil {
				e.store.Put(key, row)
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *emulatedPlatform) close() {
	close(e.stop)
	for _, s := range e.servers {
		_ = s.Close()
	}
}
