package untrusted

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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	loopback      = "127.0.0.1"
	serviceName   = "press"
	queueHost     = "jobs.example"
	jobPathPrefix = "/jobs/"
	ordinaryJob   = `{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10}]}`
	program       = "github.com/currantthread/currantthread/cmd/currantthread"

	// memoryMB is the memory_mb of each test's settings and the bound of the process's peak resident memory.
	memoryMB = 64
	// manyFDs is the max_fds of the tests of memory, and fewFDs that of the tests of descriptors. It bounds the open descriptors.
	manyFDs = 4100
	fewFDs  = 128

	// startWait and answerWait bound waits for a condition, so that a failing test ends. No test asserts a time.
	startWait  = 30 * time.Second
	answerWait = 60 * time.Second
	// requestTimeout bounds one attempt of the ordinary request.
	requestTimeout = 10 * time.Second
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 20 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
)

var binary string

// TestMain builds the node without the race detector, which multiplies the memory of a process.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "currantthread")
	if out, err := exec.Command("go", "build", "-race=false", "-o", binary, program).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the node: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// limits are the limits of the operators' configuration.
type limits struct {
	HeaderBytes     int   `json:"max_header_bytes"`
	BodyBytes       int64 `json:"max_body_bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms"`
}

var usualLimits = limits{HeaderBytes: 16_384, BodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 3000}

// vm is the VM of a node, as its settings describe it. Each amount bounds what the process may use.
type vm struct {
	memoryMB, maxFDs int
}

// deployment is an emulated platform with one runner.
type deployment struct {
	t         *testing.T
	rows      *emulator.Store
	storeAddr string
}

// newDeployment starts an emulated platform whose operators have configured the limits.
func newDeployment(t *testing.T, configured limits) *deployment {
	t.Helper()
	rows := emulator.NewStore()
	fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 10 * time.Millisecond, false })
	info := runner.Info{ID: "r-0", Service: serviceName, Addr: serve(t, platform.NewRunnerServer("r-0", fleet)), Domain: "anza",
		Born: time.Now().UnixMilli(), Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}}
	fleet.Add(info)
	row, err := platform.EncodeRunner(info)
	assert.NilError(t, err)
	rows.Put(store.Key{Table: platform.TableServers, Name: info.ID}, row)
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": serviceName, "rejects_overload": true}},
		"routes": []map[string]any{{"name": "q", "host": queueHost, "path_prefix": jobPathPrefix, "service": serviceName, "timeout_ms": 3000,
			"target_completion_ms": 1000, "max_attempts": 3, "stretch": 2}},
		"limits": configured,
	})
	assert.NilError(t, err)
	rows.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, config)
	return &deployment{t: t, rows: rows, storeAddr: serve(t, platform.NewStoreServer(rows))}
}

// node is the process of one node.
type node struct {
	t                     *testing.T
	deployment            *deployment
	vm                    vm
	name                  string
	ports                 int // first of its ports
	cmd                   *exec.Cmd
	clientAddr, readyAddr string
	settings, log         string // files
	ended                 chan struct{}
	stopSampling          chan struct{}
	sampled               sync.WaitGroup
	mu                    sync.Mutex // guards peakFDs
	peakFDs               int
}

// startNode starts a deployment of one node, which has acquired its cell.
func startNode(t *testing.T, maxFDs int, configured limits) *node {
	t.Helper()
	return newDeployment(t, configured).startNode("n-0", vm{memoryMB: memoryMB, maxFDs: maxFDs})
}

// startNode starts a node, which is ready and answers.
func (d *deployment) startNode(name string, on vm) *node {
	d.t.Helper()
	dir := d.t.TempDir()
	ports := freePorts(d.t, 4)
	n := &node{t: d.t, deployment: d, vm: on, name: name, ports: ports, settings: filepath.Join(dir, "settings.toml"), log: filepath.Join(dir, "log"),
		ended: make(chan struct{}), stopSampling: make(chan struct{}),
		clientAddr: fmt.Sprintf("%s:%d", loopback, ports+2), readyAddr: fmt.Sprintf("%s:%d", loopback, ports+3)}
	n.writeSettings()
	n.start()
	n.awaitReady()
	return n
}

// writeSettings writes the settings file for the node's VM.
func (n *node) writeSettings() {
	n.t.Helper()
	settings := fmt.Sprintf(`node_name = %q
ip = %q
zone = "anza"
region = "sur"
internal_ports = [%d, %d]
bootstrap = true
orders = "call"
[zones]
anza = "sur"
[listen_addrs]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
[bounds]
hold_max_ms = 10000
grace_s = 6
stop_timeout_ms = 900
status_s = 120
[platform]
address = %q
form = "table"
across = true
`, n.name, loopback, n.ports, n.ports+1, n.clientAddr, n.readyAddr, n.vm.memoryMB, n.vm.maxFDs, n.deployment.storeAddr)
	assert.NilError(n.t, os.WriteFile(n.settings, []byte(settings), 0o600))
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback+":0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// reservedPorts are the first ports that freePorts has returned.
var reservedPorts = map[int]bool{}

// freePorts returns the first of count consecutive ports that are free.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	const first, last = 21_000, 32_000 // below the ephemeral ports of the system
	for port := first + os.Getpid()%(last-first); port < last+first; port += count {
		if !reservedPorts[port] && portsFree(port, count) {
			reservedPorts[port] = true
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsFree(port, count int) bool {
	for i := range count {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port+i))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (n *node) start() {
	n.t.Helper()
	log, err := os.Create(n.log)
	assert.NilError(n.t, err)
	defer log.Close()
	n.cmd = exec.Command(binary, "node", "--config", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	assert.NilError(n.t, n.cmd.Start())
	go func() {
		_ = n.cmd.Wait() // checkAlive reports a process that has ended
		close(n.ended)
	}()
	n.sampled.Go(n.sample)
	n.t.Cleanup(func() {
		close(n.stopSampling)
		n.sampled.Wait()
		_ = n.cmd.Process.Signal(syscall.SIGKILL) // the process may have ended by itself
		<-n.ended
		if n.t.Failed() {
			data, err := os.ReadFile(n.log)
			n.t.Logf("log of the node (%v):\n%s", err, data[max(len(data)-8000, 0):])
		}
	})
}

// sample records the highest number of open descriptors.
func (n *node) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		count := n.openFDs()
		n.mu.Lock()
		n.peakFDs = max(n.peakFDs, count)
		n.mu.Unlock()
		select {
		case <-n.stopSampling:
			return
		case <-ticker.C:
		}
	}
}

func (n *node) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which checkAlive reports
	}
	return len(entries)
}

func (n *node) awaitReady() {
	n.t.Helper()
	n.await("the node to be ready", startWait, func() bool {
		response, err := http.Get("http://" + n.readyAddr + "/v1/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	n.answersOrdinaryRequest("0000000000000001")
}

func (n *node) await(what string, limit time.Duration, condition func() bool) {
	n.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	n.t.Fatalf("waited too long for %s", what)
}

// answersOrdinaryRequest submits a usual job, again while it is refused or gets no response, as an ordinary client does.
func (n *node) answersOrdinaryRequest(id string) {
	n.t.Helper()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	n.await("a response to an ordinary request", answerWait, func() bool {
		response, err := client.Do(n.submission(id, ordinaryJob))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// submission returns a request that submits a job.
func (n *node) submission(id, job string) *http.Request {
	n.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.clientAddr+jobPathPrefix+id, strings.NewReader(job))
	assert.NilError(n.t, err)
	request.Host = queueHost
	return request
}

// check fails the test unless the process is alive, within its bounds, and answers an ordinary request.
func (n *node) check() {
	n.t.Helper()
	select {
	case <-n.ended:
		n.t.Fatal("the process has ended")
	default:
	}
	n.answersOrdinaryRequest("0000000000000002")
	peakKB := n.peakMemoryKB()
	n.mu.Lock()
	peakFDs := n.peakFDs
	n.mu.Unlock()
	n.t.Logf("peak memory %d kB, peak of open descriptors %d", peakKB, peakFDs)
	if peakKB > n.vm.memoryMB<<10 {
		n.t.Errorf("peak memory is %d kB, at most %d are allowed", peakKB, n.vm.memoryMB<<10)
	}
	if peakFDs > n.vm.maxFDs {
		n.t.Errorf("%d descriptors were open, at most %d are allowed", peakFDs, n.vm.maxFDs)
	}
}

// peakMemoryKB returns the peak resident memory of the process.
func (n *node) peakMemoryKB() int { return n.memoryKB("VmHWM") }

// memoryKB returns an amount of memory of the process as the system names it.
func (n *node) memoryKB(name string) int {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	assert.NilError(n.t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			assert.NilError(n.t, err)
			return kb
		}
	}
	n.t.Fatalf("the process has no %s", name)
	return 0
}
