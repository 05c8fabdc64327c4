package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/entry"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/memnet"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

const testService = "kioscos"

// harness is a deployment in memory and in virtual time: upstreams, entry VMs, a table and a VM list.
type harness struct {
	t       testing.TB
	network *memnet.Network
	table   *standin.Table
	log     lockedBuffer
	// entryTable replaces table for entry VMs; nil means table itself.
	entryTable infra.Table

	mu       sync.Mutex // guards the fields below
	vms      []infra.VM
	listErr  error
	settings settings.Effective
	runs     map[string]int // by the value of the Test-Id header
	handler  http.HandlerFunc
	stops    []func()
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.String()
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		test(t, h)
	})
}

func newHarness(t testing.TB) *harness {
	return &harness{t: t, network: memnet.New(), table: standin.NewTable(), settings: defaultSettings(), runs: map[string]int{},
		handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }}
}

func defaultSettings() settings.Effective {
	effective := settings.Defaults()
	conf := settings.DefaultService()
	effective.Services = map[string]settings.Service{testService: conf}
	return effective
}

// configure changes the settings of the service.
func (h *harness) configure(change func(*settings.Effective, *settings.Service)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	effective := h.settings
	conf := effective.Services[testService]
	change(&effective, &conf)
	effective.Services = map[string]settings.Service{testService: conf}
	h.settings = effective
}

func (h *harness) currentSettings() settings.Effective {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settings
}

// List implements infra.VMList.
func (h *harness) List(context.Context) ([]infra.VM, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]infra.VM(nil), h.vms...), h.listErr
}

func (h *harness) setVMs(change func(vms []infra.VM) []infra.VM, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms, h.listErr = change(h.vms), err
}

var errListUnavailable = errors.New("the VM list is down")

// unchanged returns a VM list as it is.
func unchanged(vms []infra.VM) []infra.VM { return vms }

// addUpstream starts an upstream. A nil handler counts runs and responds with h.handler.
func (h *harness) addUpstream(id, region, domain string, handler http.Handler) {
	if handler == nil {
		handler = http.HandlerFunc(h.run)
	}
	addr := id + ":80"
	h.serve(addr, handler)
	h.setVMs(func(vms []infra.VM) []infra.VM {
		return append(vms, infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive, Region: region,
			Domain: domain, Addr: addr, Service: testService, Slots: 8, Connections: 64})
	}, nil)
}

func (h *harness) serve(addr string, handler http.Handler) {
	listener := h.network.Listen(addr)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	h.stops = append(h.stops, func() { _ = server.Close() })
}

// run counts a request and responds to it with the request's ID in the header, as upstreams of this system do.
func (h *harness) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.mu.Lock()
	h.runs[r.Header.Get("Test-Id")]++
	handler := h.handler
	h.mu.Unlock()
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	handler(w, r)
}

func (h *harness) setHandler(f http.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = f
}

func (h *harness) runsOf(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// entryVM is one entry VM of a harness.
type entryVM struct {
	harness  *harness
	name     string
	server   *entry.Server
	registry *prometheus.Registry
	http     *http.Server
	cancel   context.CancelFunc
	ended    chan struct{}
	observed chan entry.Observation
	killed   atomic.Bool

	mu    sync.Mutex     // guards conns
	conns []*memnet.Conn // to upstreams
}

// addEntry starts an entry VM in the first region and domain and waits until it has read the VM list.
func (h *harness) addEntry(name string) *entryVM {
	logger := logrus.New()
	logger.SetOutput(&h.log)
	registry := prometheus.NewRegistry()
	var table infra.Table = h.table
	if h.entryTable != nil {
		table = h.entryTable
	}
	e := &entryVM{harness: h, name: name, registry: registry, ended: make(chan struct{}), observed: make(chan entry.Observation, 10000)}
	e.server = entry.New(entry.Config{
		VM: name, Region: "r1", Domain: "d1", Settings: h.currentSettings, Table: &killableTable{table, &e.killed}, VMs: h, Dial: e.dial,
		Log: logrus.NewEntry(logger), Registry: registry, Seed: 1,
		Observe: func(o entry.Observation) { e.observed <- o },
	})
	h.setVMs(func(vms []infra.VM) []infra.VM {
		for _, vm := range vms {
			if vm.ID == name {
				return vms
			}
		}
		return append(vms, infra.VM{ID: name, Role: infra.RoleEntry, State: infra.VMLive, Region: "r1", Domain: "d1", Addr: name + ":81"})
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.ended)
		e.server.Run(ctx)
	}()
	listener := h.network.Listen(name + ":80")
	e.http = entry.NewCallerServer(e.server)
	go func() { _ = e.http.Serve(e.server.CallerListener(listener)) }()
	h.stops = append(h.stops, e.stop)
	synctest.Wait()
	return e
}

// stop ends the entry VM and waits for its goroutines.
func (e *entryVM) stop() {
	_ = e.http.Close()
	e.cancel()
	<-e.ended
}

// kill simulates a crash of the entry VM: its connections break and it can't write to the table any more.
func (e *entryVM) kill() {
	e.killed.Store(true)
	e.mu.Lock()
	conns := e.conns
	e.mu.Unlock()
	for _, c := range conns {
		c.Cut()
	}
	for _, c := range e.harness.network.Conns() {
		if c.RemoteAddr().String() == e.name+":80" {
			c.Cut()
		}
	}
	e.stop()
}

// dial opens a connection of this entry VM to an upstream.
func (e *entryVM) dial(ctx context.Context, addr string) (net.Conn, error) {
	if e.killed.Load() {
		return nil, errKilled
	}
	conn, err := e.harness.network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, conn.(*memnet.Conn))
	return conn, nil
}

// killableTable is the table of a process that can be killed. After that, commits fail.
type killableTable struct {
	infra.Table
	killed *atomic.Bool
}

var errKilled = errors.New("the process was killed")

func (m *killableTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if m.killed.Load() {
		return 0, &infra.UnavailableError{Err: errKilled}
	}
	return m.Table.Commit(ctx, txn)
}

func (h *harness) stop() {
	for _, stop := range h.stops {
		stop()
	}
	h.network.CutAll()
	// Lets handlers that still sleep return.
	time.Sleep(time.Hour)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if no complete response arrived.
	err error
}

// verdict returns the verdict in the response's header; without a response the request may have run.
func (r reply) verdict() verdict.Verdict {
	if r.status == 0 {
		return verdict.MayHaveRun
	}
	v, err := verdict.Parse(r.header.Get(verdict.Header))
	if err != nil {
		return verdict.MayHaveRun
	}
	return v
}

func (r reply) code() verdict.Code {
	var body struct {
		Code verdict.Code `json:"code"`
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Code
}

// request describes a caller's request; zero fields mean a GET without a body.
type request struct {
	method, path, id, body, key string
	header                      http.Header
	reader                      io.Reader
	ctx                         context.Context
}

// send sends a request over a new connection, so that the HTTP client never retries it.
func (e *entryVM) send(req request) reply {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return e.harness.network.Dial(ctx, addr) },
	}}
	if req.ctx == nil {
		req.ctx = context.Background()
	}
	if req.method == "" {
		req.method = http.MethodGet
	}
	if req.reader == nil && req.body != "" {
		req.reader = strings.NewReader(req.body)
	}
	if req.path == "" {
		req.path = "/svc/" + testService + "/x"
	}
	r, err := http.NewRequestWithContext(req.ctx, req.method, "http://"+e.name+":80"+req.path, req.reader)
	assert.NilError(e.harness.t, err)
	for name, values := range req.header {
		r.Header[name] = values
	}
	if req.id != "" {
		r.Header.Set("Test-Id", req.id)
	}
	if req.key != "" {
		r.Header.Set("Idempotency-Key", req.key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// sendRaw sends bytes over a new connection and returns all bytes received.
func (e *entryVM) sendRaw(text string) string {
	conn, err := e.harness.network.Dial(context.Background(), e.name+":80")
	assert.NilError(e.harness.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(e.harness.t, err)
	all, _ := io.ReadAll(conn)
	return string(all)
}

// counter returns the sum of all series of a counter or gauge.
func (e *entryVM) counter(name string) float64 {
	families, err := e.registry.Gather()
	assert.NilError(e.harness.t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != "currantthread_entry_"+name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return sum
}

// claimRows returns the number of claims in the table.
func (h *harness) claimRows() int {
	rows, err := h.table.Scan(context.Background(), "claim/", "", 1000)
	assert.NilError(h.t, err)
	return len(rows)
}
