package untrusted

import (
	"bytes"
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
)

const (
	loopback      = "127.0.0.1"
	serviceName   = "press"
	queueHost     = "jobs.example"
	jobPathPrefix = "/jobs/"
	ordinaryJob   = `{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10}]}`
	nodeProgram   = "github.com/currantthread/currantthread/cmd/currantthread"
	entryProgram  = "github.com/currantthread/currantthread/cmd/currantthread-entry"

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

// nodeBinary and entryBinary are the programs.
var nodeBinary, entryBinary string

// TestMain builds the programs without the race detector, which multiplies the memory of a process.
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
	for program, binary := range map[string]*string{nodeProgram: &nodeBinary, entryProgram: &entryBinary} {
		*binary = filepath.Join(dir, filepath.Base(program))
		if out, err := exec.Command("go", "build", "-race=false", "-o", *binary, program).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// vm is the VM of a process, as its settings describe it. Each amount bounds what the process may use.
type vm struct {
	memoryMB, maxFDs int
}

// process is a process of the system that clients reach.
type process struct {
	t          *testing.T
	vm         vm
	clientAddr string
	// requestStart returns the request line and the Host line of a client's request, and ordinaryRequest a usual request with an ID.
	requestStart    func(client int) string
	ordinaryRequest func(id string) *http.Request
	cmd             *exec.Cmd
	log             string // file
	ended           chan struct{}
	stopSampling    chan struct{}
	sampled         sync.WaitGroup
	mu              sync.Mutex // guards peakFDs
	peakFDs         int
}

// newProcess returns a process that is to serve clients on a port.
func newProcess(t *testing.T, on vm, port int) *process {
	t.Helper()
	return &process{t: t, vm: on, clientAddr: fmt.Sprintf("%s:%d", loopback, port), log: filepath.Join(t.TempDir(), "log"),
		ended: make(chan struct{}), stopSampling: make(chan struct{})}
}

// start starts the program.
func (p *process) start(program string, args ...string) {
	p.t.Helper()
	log, err := os.Create(p.log)
	assert.NilError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // checkAlive reports a process that has ended
		close(p.ended)
	}()
	p.sampled.Go(p.sample)
	p.t.Cleanup(func() {
		close(p.stopSampling)
		p.sampled.Wait()
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // the process may have ended by itself
		<-p.ended
		if p.t.Failed() {
			data, err := os.ReadFile(p.log)
			p.t.Logf("log of the process (%v):\n%s", err, data[max(len(data)-8000, 0):])
		}
	})
}

// sample records the highest number of open descriptors.
func (p *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		count := p.openFDs()
		p.mu.Lock()
		p.peakFDs = max(p.peakFDs, count)
		p.mu.Unlock()
		select {
		case <-p.stopSampling:
			return
		case <-ticker.C:
		}
	}
}

func (p *process) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which checkAlive reports
	}
	return len(entries)
}

func (p *process) awaitReady(addr, path string) {
	p.t.Helper()
	p.await("the process to be ready", startWait, func() bool {
		response, err := http.Get("http://" + addr + path)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	p.answersOrdinaryRequest("0000000000000001")
}

func (p *process) await(what string, limit time.Duration, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	p.t.Fatalf("waited too long for %s", what)
}

// answersOrdinaryRequest sends a usual request, again while it is refused or gets no response, as an ordinary client does.
func (p *process) answersOrdinaryRequest(id string) {
	p.t.Helper()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	p.await("a response to an ordinary request", answerWait, func() bool {
		response, err := client.Do(p.ordinaryRequest(id))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// check fails the test unless the process is alive, within its bounds, and answers an ordinary request.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatal("the process has ended")
	default:
	}
	p.answersOrdinaryRequest("0000000000000002")
	peakKB := p.peakMemoryKB()
	p.mu.Lock()
	peakFDs := p.peakFDs
	p.mu.Unlock()
	p.t.Logf("peak memory %d kB, peak of open descriptors %d", peakKB, peakFDs)
	if peakKB > p.vm.memoryMB<<10 {
		p.t.Errorf("peak memory is %d kB, at most %d are allowed", peakKB, p.vm.memoryMB<<10)
	}
	if peakFDs > p.vm.maxFDs {
		p.t.Errorf("%d descriptors were open, at most %d are allowed", peakFDs, p.vm.maxFDs)
	}
}

// peakMemoryKB returns the peak resident memory of the process.
func (p *process) peakMemoryKB() int { return p.memoryKB("VmHWM") }

// memoryKB returns an amount of memory of the process as the system names it.
func (p *process) memoryKB(name string) int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			assert.NilError(p.t, err)
			return kb
		}
	}
	p.t.Fatalf("the process has no %s", name)
	return 0
}

// logLines returns the number of lines that the process has logged.
func (p *process) logLines() int { return bytes.Count(p.logged(), []byte{'\n'}) }

func (p *process) logged() []byte {
	p.t.Helper()
	data, err := os.ReadFile(p.log)
	assert.NilError(p.t, err)
	return data
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
