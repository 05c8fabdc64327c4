package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/ledger"
)

// longTimeout is longer than any wait of a passing test.
const longTimeout = 30 * time.Second

// platformFixture is a simulated platform with clients that access it over HTTP.
type platformFixture struct {
	*Platform
	table   infra.Table
	objects infra.Objects
	vms     infra.VMList
	control string
}

func newPlatformFixture(t *testing.T, cfg PlatformConfig) *platformFixture {
	t.Helper()
	p := NewPlatform(cfg)
	serve := func(name string, handler http.Handler) string {
		server := httptest.NewUnstartedServer(handler)
		listener := NewListener(server.Listener, 0)
		server.Listener = listener
		p.listeners[name] = listener
		server.Start()
		t.Cleanup(server.Close)
		return server.URL
	}
	return &platformFixture{
		Platform: p,
		table:    infra.NewTableClient(serve("table", p.tableInjector), "chipre", longTimeout),
		objects:  infra.NewObjectsClient(serve("objects", p.objectsInjector), "chipre", longTimeout),
		vms:      infra.NewVMListClient(serve("vms", p.vmsInjector), "chipre", longTimeout),
		control:  serve("control", p.controlHandler()),
	}
}

// setFaults posts fault switches to the control address.
func (f *platformFixture) setFaults(t *testing.T, body string) {
	t.Helper()
	res, err := http.Post(f.control+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

func create(key, value string) infra.Txn {
	return infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: 0}},
		Writes:     []infra.Write{{Key: key, Value: []byte(value)}},
	}
}

// Rows, versions and conflicts must pass through the HTTP protocol unchanged.
func TestTableOverHTTP(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	ctx := t.Context()
	version, err := f.table.Commit(ctx, create("a/1", "x\x00\xff"))
	assert.NilError(t, err)
	_, err = f.table.Commit(ctx, create("a/1", "y"))
	assert.Assert(t, infra.IsConflict(err), "%v", err)
	_, err = f.table.Commit(ctx, create("a/2", "z"))
	assert.NilError(t, err)
	rows, err := f.table.Read(ctx, "a/1", "missing")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []infra.Row{{Key: "a/1", Value: []byte("x\x00\xff"), Version: version}, {Key: "missing"}})
	rows, err = f.table.Scan(ctx, "a/", "a/1", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = f.table.Commit(ctx, infra.Txn{Writes: []infra.Write{{Key: "a/1", Delete: true}}})
	assert.NilError(t, err)
	rows, err = f.table.Read(ctx, "a/1")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, int64(0))
}

// The client must report each fault as what it is: a lost response must not appear as "nothing was written", nor a refusal as
// an unknown outcome.
func TestTableFaultsOverHTTP(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	cases := []struct {
		faults  string
		outcome func(error) bool
		applied bool
	}{
		{`{"table":{"down":true}}`, isUnavailable, false},
		{`{"table":{"lose_answers":1}}`, infra.IsUnknownOutcome, true},
		{`{"table":{"lose_requests":1}}`, infra.IsUnknownOutcome, false},
		{`{"table":{"truncate_answers":1}}`, infra.IsUnknownOutcome, true},
		{`{"table":{"cross_answers":1}}`, infra.IsUnknownOutcome, true},
		{`{"table":{}}`, func(err error) bool { return err == nil }, true},
	}
	for i, c := range cases {
		key := fmt.Sprintf("k%d", i)
		f.setFaults(t, c.faults)
		_, err := f.table.Commit(t.Context(), create(key, "1"))
		assert.Assert(t, c.outcome(err), "%s: %v", c.faults, err)
		rows, err := f.Table.Read(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version > 0, c.applied, c.faults)
	}
}

// A cut must affect only its failure domains, a commit on a cut or silent connection must take no effect, and the client must
// abandon a silent connection.
func TestCutAndSilentConnections(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	commit := func(key string) error {
		// Without the deadline the call would wait forever. It is far longer than sending on an open connection takes,
		// because the outcome is known if nothing was sent.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.table.Commit(ctx, create(key, "1"))
		return err
	}
	_, err := f.table.Commit(t.Context(), create("before", "1"))
	assert.NilError(t, err)
	f.setFaults(t, `{"table":{"cut_domains":["chipre"]}}`)
	assert.Assert(t, infra.IsUnknownOutcome(commit("cut")))
	f.setFaults(t, `{"table":{"cut_domains":["cartago"]}}`)
	_, err = f.table.Commit(t.Context(), create("kept", "1"))
	assert.NilError(t, err)

	f.setFaults(t, `{"silence":["table"]}`)
	assert.Assert(t, infra.IsUnknownOutcome(commit("silent")))
	_, err = f.table.Commit(t.Context(), create("after", "1"))
	assert.NilError(t, err)
	rows, err := f.Table.Read(t.Context(), "cut", "silent", "kept", "after")
	assert.NilError(t, err)
	for i, applied := range []bool{false, false, true, true} {
		assert.Equal(t, rows[i].Version > 0, applied, rows[i].Key)
	}
}

// A misspelt fault switch must be refused; otherwise a test would run on a healthy platform unnoticed.
func TestUnknownFaultIsRefused(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	res, err := http.Post(f.control+"/faults", "application/json", strings.NewReader(`{"table":{"lose_answer":1}}`))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}

// The ledger writer must neither lose nor repeat transactions when requests to or responses of the table service are lost.
func TestWriterOverHTTPWithLostResponses(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	writer := ledger.NewWriter(f.table, "test")
	for i := range 40 {
		f.setFaults(t, fmt.Sprintf(`{"table":{"lose_answers":%d,"lose_requests":%d,"truncate_answers":%d}}`, i%3, i%2, i%4))
		_, err := writer.Commit(t.Context(), create(fmt.Sprintf("row/%02d", i), "1"))
		assert.NilError(t, err)
	}
	f.setFaults(t, `{"table":{}}`)
	rows, err := f.table.Scan(t.Context(), "row/", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 40)
}

// Calls above the rate limit must be delayed, not fail.
func TestOverloadDelaysCalls(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{WritesPerSecond: 200, ReadsPerSecond: 400})
	var group errgroup.Group
	for i := range 60 {
		group.Go(func() error {
			_, err := f.table.Commit(t.Context(), create(fmt.Sprintf("k%d", i), "1"))
			return err
		})
	}
	assert.NilError(t, group.Wait())
	rows, err := f.table.Scan(t.Context(), "k", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 60)
}

// An object must not be replaced by one with other data.
func TestObjectsAreWrittenOnce(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	ctx := t.Context()
	assert.NilError(t, f.objects.Put(ctx, "a/b c", []byte("1")))
	assert.NilError(t, f.objects.Put(ctx, "a/b c", []byte("1")))
	assert.Assert(t, isUnavailable(f.objects.Put(ctx, "a/b c", []byte("2"))))
	data, err := f.objects.Get(ctx, "a/b c")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "1")
	_, err = f.objects.Get(ctx, "a/b")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	// The HTTP transport repeats a PUT once by itself, which is harmless.
	f.setFaults(t, `{"objects":{"lose_answers":2}}`)
	assert.Assert(t, infra.IsUnknownOutcome(f.objects.Put(ctx, "lost", []byte("3"))))
	assert.NilError(t, f.objects.Put(ctx, "lost", []byte("3")))
	f.setFaults(t, `{"objects":{"truncate_answers":1}}`)
	_, err = f.objects.Get(ctx, "lost")
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// The VM list must show changes only after its lag, because faults caused by the lag would stay hidden otherwise. It must drop
// the VMs of a process that has died.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := infra.VM{ID: "e1", Role: infra.RoleEntry}
		worker := infra.VM{ID: "w1", Role: infra.RoleWorker}
		list := NewVMList(2*time.Second, []infra.VM{entry})
		shown := func() int {
			vms, err := list.List(t.Context())
			assert.NilError(t, err)
			return len(vms)
		}
		time.Sleep(time.Minute)
		list.Register("chipre", []infra.VM{worker})
		time.Sleep(2*time.Second - time.Nanosecond)
		assert.Equal(t, shown(), 1)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, shown(), 2)

		// The source does not register again: it expires 5 s after its registration, which the list shows 2 s later.
		time.Sleep(5*time.Second - time.Nanosecond)
		assert.Equal(t, shown(), 2)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, shown(), 1)
		list.Register("chipre", []infra.VM{worker})
		assert.Equal(t, shown(), 1)
		list.SetLag(0)
		assert.Equal(t, shown(), 2)
	})
}

// VMs registered over HTTP must appear in the list that clients read.
func TestVMListOverHTTP(t *testing.T) {
	f := newPlatformFixture(t, PlatformConfig{})
	vm := infra.VM{ID: "r1", Role: infra.RoleUpstream, State: infra.VMLeaving, Addr: "127.0.0.1:1", Slots: 8}
	assert.NilError(t, PostJSON(t.Context(), f.control+pathRegister, Registration{Source: "s", VMs: []infra.VM{vm}}, nil))
	vms, err := f.vms.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []infra.VM{vm})
}

// The table handler must not panic or respond with a server error on any request body.
func FuzzTableHandler(f *testing.F) {
	f.Add(infra.PathTableCommit, `{"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"eA=="}]}`)
	f.Add(infra.PathTableScan, `{"prefix":"a","limit":-1}`)
	f.Add(infra.PathTableRead, `{"keys":["a",""]}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/v1/table/") || strings.ContainsAny(path, " \r\n?#%") {
			return
		}
		handler := tableHandler(NewTable(), newRateLimiter(0), newRateLimiter(0))
		req := httptest.NewRequest(http.MethodPost, "http://table/", strings.NewReader(body))
		req.URL.Path = path
		res := httptest.NewRecorder()
		handler.ServeHTTP(res, req)
		assert.Assert(t, res.Code < 500, "%d %s", res.Code, res.Body)
	})
}
