package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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
	// heartbeatInterval is how often each runner checks its service discovery row. It is short, so that a runner can drain
	// while a start is on its way to it.
	heartbeatInterval = 100 * time.Millisecond
	loopback          = "127.0.0.1"
	serviceName       = "kioscos"
	queueHost         = "jobs.example"
	jobPathPrefix     = "/jobs/"
	// storeName names the store as the end of a link.
	storeName = "store"
	// runnersPerRack is the number of runners with the same rack label.
	runnersPerRack = 8
	// holdMax is the longest lease that runners grant, and grace the time between SIGTERM and SIGKILL.
	holdMax = 10 * time.Second
	grace   = 6 * time.Second
)

// process is the process of one node.
type process struct {
	name, clientAddr, innerAddr, file, log string
	// firstPort is the first of portsPerNode ports.
	firstPort int

	mu      sync.Mutex // guards the fields below
	current *incarnation
	// selfEnded describes each end that no signal of the soak had caused.
	selfEnded []string
}

// incarnation is one start of a node's process.
type incarnation struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// ending is set once the soak has told the process to end. The mu of process guards it.
	ending bool
}

const (
	// firstPort starts the port range of the nodes, below the ephemeral ports of the system. Each seed has its own part of the
	// range, so that a concurrent run does not bind the ports of a node that is down.
	firstPort    = 20_000
	portsPerSeed = 40
	seedRanges   = 300
	portsPerNode = 4
)

// newProcess returns a node that has no settings file yet and is not started.
func newProcess(dir string, seed uint64, index int) *process {
	port := firstPort + int(seed%seedRanges)*portsPerSeed + index*portsPerNode
	name := fmt.Sprintf("node-%d", index)
	return &process{name: name, firstPort: port, clientAddr: fmt.Sprintf("%s:%d", loopback, port+2),
		innerAddr: fmt.Sprintf("%s:%d", loopback, port),
		file:      filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
}

func (p *process) writeSettings(storeAddr string) error {
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
hold_max_ms = %d
grace_s = %g
stop_timeout_ms = 900
gang_timeout_ms = 3000
status_s = 120
[platform]
address = %q
form = "table"
across = true
`, p.name, loopback, p.firstPort, p.firstPort+1, p.clientAddr, loopback, p.firstPort+3, holdMax.Milliseconds(), grace.Seconds(), storeAddr)
	return os.WriteFile(p.file, []byte(settings), 0o600)
}

// start starts the node unless it runs, and appends its output to the log file. It waits for a process that is ending.
func (p *process) start(program string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.current; i != nil && i.ending {
		p.mu.Unlock()
		<-i.ended
		p.mu.Lock()
	}
	if p.current != nil {
		return nil
	}
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
	i := &incarnation{cmd: cmd, ended: make(chan struct{})}
	p.current = i
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !i.ending {
			p.selfEnded = append(p.selfEnded, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.current = nil
		close(i.ended)
	}()
	return nil
}

// signal sends a signal that does not end the node.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		_ = p.current.cmd.Process.Signal(sig) // the process may have ended by itself
	}
}

// end ends the node with a signal and waits until it has ended. A node that takes longer than the grace period is killed,
// as the platform does.
func (p *process) end(sig syscall.Signal) {
	p.mu.Lock()
	i := p.current
	if i != nil {
		i.ending = true
		_ = i.cmd.Process.Signal(sig) // the process may have ended by itself
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Unlock()
	if i == nil {
		return
	}
	select {
	case <-i.ended:
	case <-time.After(grace):
		_ = i.cmd.Process.Kill()
		<-i.ended
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

// emulatedPlatform is the store and the runners that the nodes use. Each node reaches them through its own links.
type emulatedPlatform struct {
	store   *emulator.Store
	fleet   *emulator.Fleet
	network network
	infos   []runner.Info
	servers []*http.Server
	stop    chan struct{}

	mu sync.Mutex // guards unlisted
	// unlisted are runners whose service discovery rows have lapsed although they run.
	unlisted map[string]bool
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

func newEmulatedPlatform(s *soak) (*emulatedPlatform, error) {
	e := &emulatedPlatform{store: emulator.NewStore(), fleet: emulator.NewFleet(s.work), stop: make(chan struct{}), unlisted: map[string]bool{}}
	e.fleet.Gang, e.fleet.Measure = s.gangSize, s.measure
	capacity := workload.Resources{CPU: 64000, MemoryMB: 256000}
	if s.plan.overload {
		capacity.CPU = overloadRunnerCPU
	}
	for i := range runnerCount {
		id := fmt.Sprintf("i-%02d", i)
		server, addr, err := listen(platform.NewRunnerServer(id, e.fleet))
		if err != nil {
			return nil, err
		}
		e.servers = append(e.servers, server)
		info := runner.Info{ID: id, Service: serviceName, Addr: addr, Domain: "chipre", Born: time.Now().UnixMilli(),
			Capacity: capacity, Labels: []string{"a", rackLabel(i)}}
		e.infos = append(e.infos, info)
		e.fleet.Add(info)
	}
	return e, e.configure()
}

// rackLabel returns the label of a runner's rack.
func rackLabel(runner int) string { return fmt.Sprintf("r%d", runner/runnersPerRack) }

// connect creates the links of a node and returns the address at which it reaches the store.
func (e *emulatedPlatform) connect(p *process, nodes []*process) (storeAddr string, err error) {
	var addrs []string
	add := func(to, target string) (string, error) {
		l, err := emulator.NewLink(target)
		if err != nil {
			return "", err
		}
		e.network = append(e.network, link{l, p.name, to})
		// Addresses are quoted in JSON, and one may be a prefix of another.
		addrs = append(addrs, strconv.Quote(target), strconv.Quote(l.Addr))
		return l.Addr, nil
	}
	for _, info := range e.infos {
		if _, err := add(info.ID, info.Addr); err != nil {
			return "", err
		}
	}
	for _, peer := range nodes {
		if peer != p {
			if _, err := add(peer.name, peer.innerAddr); err != nil {
				return "", err
			}
		}
	}
	server, addr, err := listen(platform.NewStoreServer(&emulator.StoreView{Store: e.store, Addrs: strings.NewReplacer(addrs...)}))
	if err != nil {
		return "", err
	}
	e.servers = append(e.servers, server)
	return add(storeName, addr)
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

func (e *emulatedPlatform) setListed(id string, listed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unlisted[id] = !listed
}

// sendHeartbeats periodically writes the rows of live runners and deletes those of others. A row that would not change is not
// written, so that nodes get no notice while nothing happens.
func (e *emulatedPlatform) sendHeartbeats() {
	written := map[string]string{}
	for {
		for _, info := range e.infos {
			key := store.Key{Table: platform.TableServers, Name: info.ID}
			current, alive := e.fleet.Info(info.ID)
			e.mu.Lock()
			listed := alive && !e.unlisted[info.ID]
			e.mu.Unlock()
			row, err := platform.EncodeRunner(current)
			switch {
			case err != nil || string(row) == written[info.ID] && listed:
			case listed:
				e.store.Put(key, row)
				written[info.ID] = string(row)
			case written[info.ID] != "":
				e.store.Delete(key)
				delete(written, info.ID)
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
	e.network.each((*emulator.Link).Close)()
	for _, s := range e.servers {
		_ = s.Close()
	}
}
