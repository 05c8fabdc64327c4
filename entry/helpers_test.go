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

// bench is a deployment in memory and in virtual time.
type bench struct {
	t       testing.TB
	network *memnet.Network
	table   *standin.Table
	log     lockedBuffer
	// through replaces table for entry VMs; nil means table itself.
	through infra.Table

	mu       sync.Mutex // guards the fields below
	vms      []infra.VM
	listErr  error
	settings settings.Effective
	runs     map[string]int // by the value of the Test-Id header
	answer   http.HandlerFunc
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
func inBubble(t *testing.T, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.stop()
		test(t, b)
	})
}

func newBench(t testing.TB) *bench {
	return &bench{t: t, network: memnet.New(), table: standin.NewTable(), settings: defaultSettings(), runs: map[string]int{},
		answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }}
}

func defaultSettings() settings.Effective {
	effective := settings.Defaults()
	conf := settings.DefaultService()
	effective.Services = map[string]settings.Service{testService: conf}
	return effective
}

// configure changes the settings of the service.
func (b *bench) configure(change func(*settings.Effective, *settings.Service)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	effective := b.settings
	conf := effective.Services[testService]
	change(&effective, &conf)
	effective.Services = map[string]settings.Service{testService: conf}
	b.settings = effective
}

func (b *bench) inForce() settings.Effective {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settings
}

// List implements infra.VMList.
func (b *bench) List(context.Context) ([]infra.VM, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]infra.VM(nil), b.vms...), b.listErr
}

func (b *bench) setVMs(change func(vms []infra.VM) []infra.VM, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms, b.listErr = change(b.vms), err
}

var errListDown = errors.New("the VM list is down")

// nop leaves a VM list as it is.
func nop(vms []infra.VM) []infra.VM { return vms }

// addUpstream starts a runner. A nil handler counts runs and answers with b.answer.
func (b *bench) addUpstream(id, region, domain string, handler http.Handler) {
	if handler == nil {
		handler = http.HandlerFunc(b.run)
	}
	addr := id + ":80"
	b.serve(addr, handler)
	b.setVMs(func(vms []infra.VM) []infra.VM {
		return append(vms, infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive, Region: region,
			Domain: domain, Addr: addr, Service: testService, Slots: 8, Connections: 64})
	}, nil)
}

func (b *bench) serve(addr string, handler http.Handler) {
	listener := b.network.Listen(addr)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.stops = append(b.stops, func() { _ = server.Close() })
}

// run counts a request and answers it, with the request's ID as runners of this system do.
func (b *bench) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runs[r.Header.Get("Test-Id")]++
	answer := b.answer
	b.mu.Unlock()
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	answer(w, r)
}

func (b *bench) setAnswer(f http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = f
}

func (b *bench) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// entryVM is one entry VM of a bench.
type entryVM struct {
	bench    *bench
	name     string
	server   *entry.Server
	registry *prometheus.Registry
	http     *http.Server
	cancel   context.CancelFunc
	ended    chan struct{}
	observed chan entry.Observation
	dead     atomic.Bool

	mu    sync.Mutex     // guards conns
	conns []*memnet.Conn // to upstreams
}

// addEntry starts an entry VM in the first region and domain and waits until it knows the upstreams.
func (b *bench) addEntry(name string) *entryVM {
	logger := logrus.New()
	logger.SetOutput(&b.log)
	registry := prometheus.NewRegistry()
	var table infra.Table = b.table
	if b.through != nil {
		table = b.through
	}
	e := &entryVM{bench: b, name: name, registry: registry, ended: make(chan struct{}), observed: make(chan entry.Observation, 10000)}
	e.server = entry.New(entry.Config{
		VM: name, Region: "r1", Domain: "d1", Settings: b.inForce, Table: &mortalTable{table, &e.dead}, VMs: b, Dial: e.dial,
		Log: logrus.NewEntry(logger), Registry: registry, Seed: 1,
		Observe: func(o entry.Observation) { e.observed <- o },
	})
	b.setVMs(func(vms []infra.VM) []infra.VM {
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
	listener := b.network.Listen(name + ":80")
	e.http = entry.NewCallerServer(e.server)
	go func() { _ = e.http.Serve(e.server.CallerListener(listener)) }()
	b.stops = append(b.stops, e.stop)
	synctest.Wait()
	return e
}

// stop ends the entry VM and waits for its goroutines.
func (e *entryVM) stop() {
	_ = e.http.Close()
	e.cancel()
	<-e.ended
}

// kill ends the entry VM as a crash does: its connections break and nothing more of it reaches the table.
func (e *entryVM) kill() {
	e.dead.Store(true)
	e.mu.Lock()
	conns := e.conns
	e.mu.Unlock()
	for _, c := range conns {
		c.Cut()
	}
	for _, c := range e.bench.network.Conns() {
		if c.RemoteAddr().String() == e.name+":80" {
			c.Cut()
		}
	}
	e.stop()
}

// dial opens a connection of this entry VM to an upstream.
func (e *entryVM) dial(ctx context.Context, addr string) (net.Conn, error) {
	if e.dead.Load() {
		return nil, errDead
	}
	conn, err := e.bench.network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, conn.(*memnet.Conn))
	return conn, nil
}

// mortalTable is the table as a process that may be killed sees it.
type mortalTable struct {
	infra.Table
	dead *atomic.Bool
}

var errDead = errors.New("the process was killed")

func (m *mortalTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if m.dead.Load() {
		return 0, &infra.UnavailableError{Err: errDead}
	}
	return m.Table.Commit(ctx, txn)
}

func (b *bench) stop() {
	for _, stop := range b.stops {
		stop()
	}
	b.network.CutAll()
	// Gives handlers that still wait the time to end.
	time.Sleep(time.Hour)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if no complete answer arrived.
	err error
}

// verdict returns the verdict in the answer's header; without an answer the request may have run.
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

// send sends a request over a connection of its own, so that the caller's client repeats nothing.
func (e *entryVM) send(req request) reply {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return e.bench.network.Dial(ctx, addr) },
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
	assert.NilError(e.bench.t, err)
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

// raw sends bytes over a new connection and returns everything that comes back.
func (e *entryVM) raw(text string) string {
	conn, err := e.bench.network.Dial(context.Background(), e.name+":80")
	assert.NilError(e.bench.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(e.bench.t, err)
	all, _ := io.ReadAll(conn)
	return string(all)
}

// counter returns the sum of the series of a counter or gauge.
func (e *entryVM) counter(name string) float64 {
	families, err := e.registry.Gather()
	assert.NilError(e.bench.t, err)
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
func (b *bench) claimRows() int {
	rows, err := b.table.Scan(context.Background(), "claim/", "", 1000)
	assert.NilError(b.t, err)
	return len(rows)
}
