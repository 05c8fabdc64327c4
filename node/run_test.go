package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	// awaitTimeout bounds each wait of a test that runs whole nodes; each takes a few seconds.
	awaitTimeout = 60 * time.Second
	queueHost    = "jobs.example"
)

// siteWithOddRows is an emulated platform behind HTTP, on which another writer rewrites odd rows all the time.
type siteWithOddRows struct {
	t       *testing.T
	store   *emulator.Store
	fleet   *emulator.Fleet
	addr    string
	runners []runner.Info
	// unreadable adds rows that can't be decoded to each page of the store.
	unreadable atomic.Bool

	mu sync.Mutex // guards the fields below
	// rows are the odd rows.
	rows map[store.Key][]byte
	// bad holds the runners whose rows are not usable.
	bad map[string]bool
}

func newSiteWithOddRows(t *testing.T, runners int) *siteWithOddRows {
	t.Helper()
	work := func(workload.TaskID, int) (time.Duration, bool) { return 100 * time.Millisecond, false }
	s := &siteWithOddRows{t: t, store: emulator.NewStore(), fleet: emulator.NewFleet(work), rows: map[store.Key][]byte{}, bad: map[string]bool{}}
	server := httptest.NewServer(s.addUnreadableRows(platform.NewStoreServer(s.store)))
	t.Cleanup(server.Close)
	s.addr = strings.TrimPrefix(server.URL, "http://")
	for i := range runners {
		info := testRunner(fmt.Sprintf("i-%d", i))
		server := httptest.NewServer(platform.NewRunnerServer(info.ID, s.fleet))
		t.Cleanup(server.Close)
		info.Addr = strings.TrimPrefix(server.URL, "http://")
		s.runners = append(s.runners, info)
		s.fleet.Add(info)
	}
	s.configure(1, "/jobs/")
	return s
}

// addUnreadableRows puts rows that can't be decoded before those of each page of a whole table.
func (s *siteWithOddRows) addUnreadableRows(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		next.ServeHTTP(response, r)
		body := response.Body.Bytes()
		if s.unreadable.Load() && response.Code == http.StatusOK && r.Method == http.MethodGet && !r.URL.Query().Has("limit") {
			table := r.URL.Query().Get("table")
			odd := fmt.Sprintf(`"rows":[{"table":%q,"part":"","key":"odd-value","value":"!!","ver":1},`+
				`{"table":%q,"part":"","key":"odd-version","value":"eA==","ver":1e400},7,null,{"table":%q,"key":[[]],"ver":2},`, table, table, table)
			body = bytes.Replace(body, []byte(`"rows":[{`), []byte(odd+"{"), 1)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(response.Code)
		_, _ = w.Write(body) // the node may have closed the connection
	})
}

// configure writes a configuration whose queues have the given path prefixes.
func (s *siteWithOddRows) configure(version int, prefixes ...string) {
	var routes []map[string]any
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{"name": "q" + prefix, "host": queueHost, "path_prefix": prefix, "service": "kioscos",
			"timeout_ms": 3000, "target_completion_ms": 1000, "max_attempts": 3, "stretch": 2})
	}
	value, err := json.Marshal(map[string]any{"version": version, "services": []map[string]any{{"name": "kioscos"}}, "routes": routes})
	assert.NilError(s.t, err)
	s.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, value)
}

// setOdd makes the other writer write a row from now on.
func (s *siteWithOddRows) setOdd(table, part, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[store.Key{Table: table, Part: part, Name: name}] = []byte(value)
}

func (s *siteWithOddRows) setBad(id string, bad bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad[id] = bad
}

// writeRows writes the rows of the runners and of the other writer until ctx ends.
func (s *siteWithOddRows) writeRows(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for key, value := range s.rows {
			s.store.Put(key, value)
		}
		for _, info := range s.runners {
			value, err := platform.EncodeRunner(info)
			if err == nil && s.bad[info.ID] {
				value = bytes.Replace(value, []byte(`"address":"127.0.0.1:`), []byte(`"address":"127.0.0.1:99`), 1)
			}
			s.store.Put(store.Key{Table: platform.TableServers, Name: info.ID}, value)
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// await waits until a condition holds.
func (s *siteWithOddRows) await(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("%s: not within %v", what, awaitTimeout)
}

// runningNode is a node that runs in this process.
type runningNode struct {
	site     *siteWithOddRows
	settings *platform.Settings
	log      *lockedBuffer
	stop     context.CancelFunc
	ended    chan error
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// freePorts returns four consecutive ports on which nothing listens.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 100 {
		var listeners []net.Listener
		listen := func(port int) int {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				return 0
			}
			listeners = append(listeners, l)
			return l.Addr().(*net.TCPAddr).Port
		}
		first := listen(0)
		free := first > 0 && first < 65_000 && listen(first+1) > 0 && listen(first+2) > 0 && listen(first+3) > 0
		for _, l := range listeners {
			_ = l.Close() // a listener always closes
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func (s *siteWithOddRows) start(name string) *runningNode {
	s.t.Helper()
	port := freePorts(s.t)
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	ctx, stop := context.WithCancel(context.Background())
	n := &runningNode{site: s, log: &lockedBuffer{}, stop: stop, ended: make(chan error, 1), settings: &platform.Settings{
		Node: name, IP: "127.0.0.1", Domain: "chipre", Region: "caldas-centro", InnerPorts: [2]int{port + 2, port + 3},
		ClientAddr: addr(0), ReadyAddr: addr(1), StoreAddr: s.addr, CrossPartition: true, CPUShare: 0.4, LinkMbps: 1000,
		Regions: map[string]string{"chipre": "caldas-centro"},
		Bounds:  platform.Bounds{HoldMax: 10 * time.Second, Grace: 2 * time.Second, StatusRetention: 2 * time.Minute}}}
	file := filepath.Join(s.t.TempDir(), "settings.toml")
	go func() { n.ended <- Run(ctx, file, n.settings, nil, n.log) }()
	s.t.Cleanup(stop)
	s.await("readiness of "+name, func() bool { return n.get(n.settings.ReadyAddr, "/v1/ready", "") == http.StatusOK })
	return n
}

// get returns the status of a response, or 0.
func (n *runningNode) get(addr, path, body string) int {
	status, _ := n.call(http.MethodGet, addr, path, body)
	return status
}

func (n *runningNode) call(method, addr, path, body string) (int, string) {
	select {
	case err := <-n.ended:
		n.site.t.Fatalf("node %s has ended: %v", n.settings.Node, err)
	default:
	}
	request, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(n.site.t, err)
	request.Host = queueHost
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// complete submits a job and waits until it is completed.
func (n *runningNode) complete(prefix, id string) {
	n.site.t.Helper()
	body := `{"spec":"x","steps":[{"count":6,"cpu":4000,"mem_mb":1000,"estimated_ms":100},{"count":1,"cpu":4000,"estimated_ms":100,"after":[0]}]}`
	n.site.await("acceptance of job "+id, func() bool {
		status, _ := n.call(http.MethodPost, n.settings.ClientAddr, prefix+id, body)
		return status == http.StatusOK
	})
	n.awaitCompleted(prefix, id)
}

func (n *runningNode) awaitCompleted(prefix, id string) {
	n.site.t.Helper()
	n.site.await("end of job "+id, func() bool {
		_, state := n.call(http.MethodGet, n.settings.ClientAddr, prefix+id, "")
		return strings.Contains(state, string(workload.StateCompleted))
	})
}

func (n *runningNode) shutDown() {
	n.site.t.Helper()
	n.stop()
	select {
	case err := <-n.ended:
		assert.NilError(n.site.t, err)
	case <-time.After(awaitTimeout):
		n.site.t.Fatalf("node %s does not stop", n.settings.Node)
	}
}

// oddValues are values that no table of the platform or of the system has.
func oddValues() map[string]string {
	return map[string]string{
		"empty": "", "null": "null", "list": "[]", "text": `"x"`, "bytes": "\x00\xff\xfe",
		"nested":  strings.Repeat("[", 10_001),
		"number":  "1e400",
		"long":    strings.Repeat("x", 10_000),
		"numbers": `{"version":1e400,"epoch":1e400,"cpu":1e400,"n":1e400,"steps":1e400,"capacity":{"cpu":1e400},"service":"kioscos"}`,
	}
}

// A node lives beside odd rows of another writer in each table, from before its start and rewritten all the time. It follows
// changes of the other rows, runs jobs to their end, and its successor does, too.
func TestNodeBesideOddRows(t *testing.T) {
	if testing.Short() {
		t.Skip("runs whole nodes for seconds")
	}
	s := newSiteWithOddRows(t, 3)
	const runnerRow = `{"service":"kioscos","address":%q,"zone":"chipre","state":"ready","capacity":{"cpu":%s},"labels":["a","r1"],"born":%s}`
	for name, value := range oddValues() {
		s.setOdd(platform.TableServers, "", "odd-"+name, value)
		for _, row := range []string{"odd-" + name, "wave/" + name, "evacuate/odd-" + name, "config/" + name} {
			s.setOdd(platform.TableOperator, "", row, value)
		}
		s.setOdd(tableAssignments, "", "odd-"+name, value)
		s.setOdd(dispatch.TableIndex, "c0", "odd-"+name, value)
		key := ownership.HeartbeatKey("odd-" + name)
		s.setOdd(key.Table, key.Part, key.Name, value)
	}
	for i, address := range []string{"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-5", "127.0.0.1", "", "runner.example:80", "127.0.0.1:1"} {
		s.setOdd(platform.TableServers, "", fmt.Sprintf("odd-address-%d", i), fmt.Sprintf(runnerRow, address, "64000", "1"))
	}
	for i, amount := range []string{"9223372036854775807", "-9223372036854775808", "-1", "1.5", `"many"`} {
		s.setOdd(platform.TableServers, "", fmt.Sprintf("odd-capacity-%d", i), fmt.Sprintf(runnerRow, "127.0.0.1:2", amount, "1"))
		s.setOdd(platform.TableServers, "", fmt.Sprintf("odd-born-%d", i), fmt.Sprintf(runnerRow, "127.0.0.1:2", "64000", amount))
	}
	s.setOdd(platform.TableServers, "", rowLayout, fmt.Sprintf(runnerRow, "127.0.0.1:3", "64000", "1"))
	s.unreadable.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	var writer sync.WaitGroup
	writer.Go(func() { s.writeRows(ctx) })
	defer writer.Wait()
	defer stop()

	first := s.start("n1")
	first.complete("/jobs/", "00000000000000a1")

	// A row of a runner in use turns bad; then a configuration, and rows of the cells.
	s.setBad("i-0", true)
	s.await("the removal of the runner", func() bool { return first.log.count(`"present":false`) > 0 })
	first.complete("/jobs/", "00000000000000a2")
	s.setBad("i-0", false)
	for i, value := range []string{"{", "null", `{"version":9e99}`, strings.Repeat("[", 20_000)} {
		s.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, []byte(value))
		s.await("the rejection of the configuration", func() bool { return first.log.count("configuration rejected") > i })
	}
	s.configure(2, "/jobs/", "/more/")
	for i, value := range []string{"0", "3000000000", "two"} {
		s.store.Put(store.Key{Table: tableAssignments, Name: rowLayout}, []byte(value))
		s.await("the rejection of the number of cells", func() bool { return first.log.count("invalid number of cells") > i })
	}
	first.complete("/more/", "00000000000000a3")
	for _, name := range []string{rowLayout, "i-1"} {
		key := store.Key{Table: tableAssignments, Name: name}
		s.store.Delete(key)
		s.await("row "+name+" is written again", func() bool {
			page, err := s.store.Range(t.Context(), tableAssignments, "", name, name+"\x00", 1)
			return err == nil && len(page.Rows) == 1
		})
	}
	first.complete("/jobs/", "00000000000000a4")

	// Rows of jobs of the cell, for its next owner.
	for name, value := range oddValues() {
		s.store.Put(store.Key{Table: dispatch.TableJobs, Part: "c0", Name: "odd-" + name}, []byte(value))
		s.store.Put(store.Key{Table: dispatch.TableProgress, Part: "c0", Name: "odd-" + name}, []byte(value))
	}
	job := `{"id":"00000000000000b%d","steps":[{"n":%s,"after":%s,"res":{}}],"policy":{"queue":"q/jobs/","service":"kioscos","attempts":3},"occ":1,"accepted_at":"2026-01-01T00:00:00Z"}`
	for i, step := range [][2]string{{"1", "[7]"}, {"1", "[-1]"}, {"-1", "[]"}, {"9223372036854775807", "[]"}, {"0", "[]"}} {
		s.store.Put(store.Key{Table: dispatch.TableJobs, Part: "c0", Name: fmt.Sprintf("00000000000000b%d", i)}, fmt.Appendf(nil, job, i, step[0], step[1]))
	}
	const stored = "00000000000000b9"
	s.store.Put(store.Key{Table: dispatch.TableIndex, Part: "c0", Name: stored}, []byte("c0"))
	s.store.Put(store.Key{Table: dispatch.TableJobs, Part: "c0", Name: stored}, fmt.Appendf(nil, job, 9, "4", "[]"))
	s.store.Put(store.Key{Table: dispatch.TableProgress, Part: "c0", Name: stored},
		[]byte(`{"n":9223372036854775807,"o":[{"s":[{"d":"AQ==","u":[{"i":-1},{"i":99},{"i":1,"r":2}]}]}]}`))
	first.shutDown()
	second := s.start("n2")
	second.complete("/more/", "00000000000000a5")
	second.awaitCompleted("/jobs/", stored)
	for _, id := range []string{"00000000000000a1", "00000000000000a4"} {
		second.awaitCompleted("/jobs/", id)
	}
	second.shutDown()
	assert.Equal(t, len(s.fleet.Overlaps()), 0)
	for _, n := range []*runningNode{first, second} {
		for _, message := range []string{"no usable runner", "names no cell", "could not decode the heartbeat"} {
			lines := n.log.count(message)
			assert.Assert(t, lines > 0 && lines < 50, "%d lines: %s", lines, message)
		}
	}
}
