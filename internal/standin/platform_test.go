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

// longTimeout is waited for by no test.
const longTimeout = 30 * time.Second

type platformBench struct {
	*Platform
	table   infra.Table
	objects infra.Objects
	vms     infra.VMList
	control string
}

func newPlatformBench(t *testing.T, cfg PlatformConfig) *platformBench {
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
	return &platformBench{
		Platform: p,
		table:    infra.NewTableClient(serve("table", p.tableGate), "chipre", longTimeout),
		objects:  infra.NewObjectsClient(serve("objects", p.objectsGate), "chipre", longTimeout),
		vms:      infra.NewVMListClient(serve("vms", p.vmsGate), "chipre", longTimeout),
		control:  serve("control", p.control()),
	}
}

func (b *platformBench) fault(t *testing.T, body string) {
	t.Helper()
	res, err := http.Post(b.control+"/faults", "application/json", strings.NewReader(body))
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

// Guards against rows, versions or conflicts that change on their way through the HTTP protocol.
func TestTableOverHTTP(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	ctx := t.Context()
	version, err := b.table.Commit(ctx, create("a/1", "x\x00\xff"))
	assert.NilError(t, err)
	_, err = b.table.Commit(ctx, create("a/1", "y"))
	assert.Assert(t, infra.IsConflict(err), "%v", err)
	_, err = b.table.Commit(ctx, create("a/2", "z"))
	assert.NilError(t, err)
	rows, err := b.table.Read(ctx, "a/1", "missing")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []infra.Row{{Key: "a/1", Value: []byte("x\x00\xff"), Version: version}, {Key: "missing"}})
	rows, err = b.table.Scan(ctx, "a/", "a/1", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = b.table.Commit(ctx, infra.Txn{Writes: []infra.Write{{Key: "a/1", Delete: true}}})
	assert.NilError(t, err)
	rows, err = b.table.Read(ctx, "a/1")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, int64(0))
}

// Guards against a fault switch whose effect the client reports as another: a lost answer as "nothing was written", or
// a refusal as an unknown outcome.
func TestTableFaultsOverHTTP(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
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
		b.fault(t, c.faults)
		_, err := b.table.Commit(t.Context(), create(key, "1"))
		assert.Assert(t, c.outcome(err), "%s: %v", c.faults, err)
		rows, err := b.Table.Read(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version > 0, c.applied, c.faults)
	}
}

// Guards against a cut that reaches other failure domains, a cut or silent connection on which a commit takes effect, and
// a client that stays on a silent connection.
func TestCutAndSilentConnections(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	commit := func(key string) error {
		// The deadline only ends a wait that has no other end. It is far longer than sending on an open connection
		// takes, since the outcome is known if nothing was sent.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.table.Commit(ctx, create(key, "1"))
		return err
	}
	_, err := b.table.Commit(t.Context(), create("before", "1"))
	assert.NilError(t, err)
	b.fault(t, `{"table":{"cut_domains":["chipre"]}}`)
	assert.Assert(t, infra.IsUnknownOutcome(commit("cut")))
	b.fault(t, `{"table":{"cut_domains":["cartago"]}}`)
	_, err = b.table.Commit(t.Context(), create("kept", "1"))
	assert.NilError(t, err)

	b.fault(t, `{"silence":["table"]}`)
	assert.Assert(t, infra.IsUnknownOutcome(commit("silent")))
	_, err = b.table.Commit(t.Context(), create("after", "1"))
	assert.NilError(t, err)
	rows, err := b.Table.Read(t.Context(), "cut", "silent", "kept", "after")
	assert.NilError(t, err)
	for i, applied := range []bool{false, false, true, true} {
		assert.Equal(t, rows[i].Version > 0, applied, rows[i].Key)
	}
}

// Guards against a misspelt fault switch that leaves a test on a healthy platform.
func TestUnknownFaultIsRefused(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	res, err := http.Post(b.control+"/faults", "application/json", strings.NewReader(`{"table":{"lose_answer":1}}`))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}

// Guards against a writer that loses or repeats transactions when answers of the table service are lost on the wire.
func TestWriterOverHTTPWithLostAnswers(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	writer := ledger.NewWriter(b.table, "test")
	for i := range 40 {
		b.fault(t, fmt.Sprintf(`{"table":{"lose_answers":%d,"lose_requests":%d,"truncate_answers":%d}}`, i%3, i%2, i%4))
		_, err := writer.Commit(t.Context(), create(fmt.Sprintf("row/%02d", i), "1"))
		assert.NilError(t, err)
	}
	b.fault(t, `{"table":{}}`)
	rows, err := b.table.Scan(t.Context(), "row/", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 40)
}

// Guards against an overload that is answered with an error instead of slowly.
func TestOverloadIsSlowAndNotWrong(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{WritesPerSecond: 200, ReadsPerSecond: 400})
	var group errgroup.Group
	for i := range 60 {
		group.Go(func() error {
			_, err := b.table.Commit(t.Context(), create(fmt.Sprintf("k%d", i), "1"))
			return err
		})
	}
	assert.NilError(t, group.Wait())
	rows, err := b.table.Scan(t.Context(), "k", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 60)
}

// Guards against an object that is replaced, so that a name would mean two things.
func TestObjectsAreWrittenOnce(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	ctx := t.Context()
	assert.NilError(t, b.objects.Put(ctx, "a/b c", []byte("1")))
	assert.NilError(t, b.objects.Put(ctx, "a/b c", []byte("1")))
	assert.Assert(t, isUnavailable(b.objects.Put(ctx, "a/b c", []byte("2"))))
	data, err := b.objects.Get(ctx, "a/b c")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "1")
	_, err = b.objects.Get(ctx, "a/b")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	// The transport repeats a put once by itself, which is harmless.
	b.fault(t, `{"objects":{"lose_answers":2}}`)
	assert.Assert(t, infra.IsUnknownOutcome(b.objects.Put(ctx, "lost", []byte("3"))))
	assert.NilError(t, b.objects.Put(ctx, "lost", []byte("3")))
	b.fault(t, `{"objects":{"truncate_answers":1}}`)
	_, err = b.objects.Get(ctx, "lost")
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// Guards against a VM list that shows the truth at once, which hides every fault that comes from its lag, or never
// forgets VMs whose process died.
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

		// The source stays silent: it expires 5 s after its registration, and the list shows it 2 s later.
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

// Guards against a VM list whose registration over HTTP does not reach the clients.
func TestVMListOverHTTP(t *testing.T) {
	b := newPlatformBench(t, PlatformConfig{})
	vm := infra.VM{ID: "r1", Role: infra.RoleUpstream, State: infra.VMLeaving, Addr: "127.0.0.1:1", Slots: 8}
	assert.NilError(t, PostJSON(t.Context(), b.control+pathRegister, Registration{Source: "s", VMs: []infra.VM{vm}}, nil))
	vms, err := b.vms.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []infra.VM{vm})
}

// Guards against decoders of the table service that panic on what a client may send.
func FuzzTableHandler(f *testing.F) {
	f.Add(infra.PathTableCommit, `{"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"eA=="}]}`)
	f.Add(infra.PathTableScan, `{"prefix":"a","limit":-1}`)
	f.Add(infra.PathTableRead, `{"keys":["a",""]}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/v1/table/") || strings.ContainsAny(path, " \r\n?#%") {
			return
		}
		handler := tableHandler(NewTable(), newPace(0), newPace(0))
		req := httptest.NewRequest(http.MethodPost, "http://table/", strings.NewReader(body))
		req.URL.Path = path
		res := httptest.NewRecorder()
		handler.ServeHTTP(res, req)
		assert.Assert(t, res.Code < 500, "%d %s", res.Code, res.Body)
	})
}
