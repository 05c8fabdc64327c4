package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

// fakeDaemon is a sched daemon with fixed responses.
type fakeDaemon struct {
	confirms bool
	status   *innerproto.StatusResponse
}

func (d fakeDaemon) Status(context.Context, *innerproto.StatusRequest) (*innerproto.StatusResponse, error) {
	if d.status == nil {
		return nil, errors.New("unreachable")
	}
	return d.status, nil
}

func (d fakeDaemon) AnnounceDomain(context.Context, *innerproto.AnnounceDomainRequest) (*innerproto.AnnounceDomainResponse, error) {
	if !d.confirms {
		return nil, errors.New("unreachable")
	}
	return &innerproto.AnnounceDomainResponse{InForce: true}, nil
}

func (d fakeDaemon) Poke(context.Context, *innerproto.PokeRequest) (*innerproto.PokeResponse, error) {
	return &innerproto.PokeResponse{}, nil
}

type apiFixture struct {
	t       *testing.T
	table   *standin.Table
	router  *echo.Echo
	mu      sync.Mutex // guards daemons, which the API's background calls to Poke read
	daemons map[string]fakeDaemon
}

func (f *apiFixture) set(addr string, d fakeDaemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[addr] = d
}

func (f *apiFixture) dial(addr string) control.DaemonClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[addr]
}

func newAPIFixture(t *testing.T) *apiFixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &apiFixture{t: t, table: standin.NewTable(), router: echo.New(), daemons: map[string]fakeDaemon{}}
	vms := []infra.VM{
		{ID: "e1", Role: infra.RoleEntry, Domain: "chipre", Addr: "e1:entry", SchedAddr: "e1:sched"},
		{ID: "e2", Role: infra.RoleEntry, Domain: "chipre", Addr: "e2:entry", SchedAddr: "e2:sched"},
	}
	control.NewAPI(control.APIConfig{
		Store: control.NewStore(f.table, standin.NewObjects(), "api/e1"),
		Table: f.table,
		VMs:   func() []infra.VM { return vms },
		Dial:  f.dial,
		Log:   logrus.NewEntry(log),
	}).Register(f.router.Group("/api/v1"))
	return f
}

func (f *apiFixture) call(method, path, body string, into any) int {
	f.t.Helper()
	recorder := httptest.NewRecorder()
	f.router.ServeHTTP(recorder, httptest.NewRequest(method, "/api/v1"+path, bytes.NewBufferString(body)))
	assert.NilError(f.t, json.Unmarshal(recorder.Body.Bytes(), into), "%s", recorder.Body)
	return recorder.Code
}

const exampleJob = `{"id":"j1","name":"reconcile","team":"parks","tasks":3,
	"spec":{"class":"batch","priority":50,"resources":{"cpu_milli":1000,"memory_mib":512,"accelerators":0}}}`

// A client that repeats a submission after a lost response must not queue the job twice.
func TestSubmitJobOnce(t *testing.T) {
	f := newAPIFixture(t)
	var j job.Job
	assert.Equal(t, f.call(http.MethodPost, "/jobs", exampleJob, &j), http.StatusCreated)
	assert.Equal(t, f.call(http.MethodPost, "/jobs", exampleJob, &j), http.StatusCreated)
	rows, err := f.table.Scan(t.Context(), ledger.QueuePrefix(ledger.AnyDomain), "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 3)
	var refused control.APIError
	other := `{"id":"j1","name":"other","team":"parks","tasks":3,"spec":{"class":"batch","priority":50,"resources":{"cpu_milli":1}}}`
	assert.Equal(t, f.call(http.MethodPost, "/jobs", other, &refused), http.StatusConflict)
}

// Invalid jobs are rejected, and the error lists every problem rather than only the first.
func TestSubmitJobListsProblems(t *testing.T) {
	f := newAPIFixture(t)
	var refused control.APIError
	code := f.call(http.MethodPost, "/jobs", `{"id":"a/b","tasks":0,"spec":{"class":"cron","priority":100}}`, &refused)
	assert.Equal(t, code, http.StatusUnprocessableEntity)
	assert.Equal(t, refused.Message, `name: must not be empty; team: must not be empty; tasks: 0 is outside 1 to 10000; `+
		`spec.class: "cron" is none of service, batch, standing; spec.priority: 100 is outside 0 to 99; `+
		`spec.resources: every axis must be 0 or more and one must be above 0; id: "a/b" must not contain / or blanks`)
	assert.Equal(t, f.call(http.MethodPost, "/jobs", `{"nme":"x"}`, &refused), http.StatusUnprocessableEntity)
	assert.Equal(t, f.call(http.MethodPost, "/jobs", `{`, &refused), http.StatusUnprocessableEntity)
}

// A job's status counts each task in its state and says why a queued task waits.
func TestShowJob(t *testing.T) {
	f := newAPIFixture(t)
	var j job.Job
	f.call(http.MethodPost, "/jobs", exampleJob, &j)
	assignment := ledger.Assignment{Task: job.Task{ID: "j1/0", Attempt: 2}, Worker: "w1", State: ledger.Assigned}
	_, err := f.table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{
		{Key: ledger.QueueKey(ledger.AnyDomain, 50, "j1/0"), Delete: true},
		{Key: ledger.CellTaskKey("chipre-0", "j1/0"), Value: ledger.Encode(assignment)},
		{Key: ledger.QueueKey(ledger.AnyDomain, 50, "j1/1"), Delete: true},
		{Key: ledger.DoneKey("j1/1"), Value: ledger.Encode(ledger.Done{Outcome: ledger.OutcomeCompleted})},
	}})
	assert.NilError(t, err)
	f.set("e1:sched", fakeDaemon{status: &innerproto.StatusResponse{Cells: []*innerproto.CellStatus{{
		Cell: "chipre-0", Epoch: 1,
		ParkedTasks: []*innerproto.ParkedTask{{Task: "j1/2", Reason: "needs 90 cores; the largest worker has 64"}},
	}}}})
	var status control.JobStatus
	assert.Equal(t, f.call(http.MethodGet, "/jobs/j1", "", &status), http.StatusOK)
	assert.Equal(t, status.Queued, 1)
	assert.Equal(t, status.Completed, 1)
	assert.DeepEqual(t, status.Running, []control.RunningTask{
		{Task: "j1/0", Cell: "chipre-0", Worker: "w1", Attempt: 2, State: "assigned"},
	})
	assert.DeepEqual(t, status.Waiting, []control.WaitReason{{Reason: "needs 90 cores; the largest worker has 64", Tasks: 1}})
	var refused control.APIError
	assert.Equal(t, f.call(http.MethodGet, "/jobs/none", "", &refused), http.StatusNotFound)
	assert.Equal(t, f.call(http.MethodPost, "/jobs/none/cancel", "", &refused), http.StatusNotFound)
}

// An out-command must not be reported as active while a sched daemon that did not confirm it can still start tasks under
// an earlier start permit.
func TestDomainOutWaitsForPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAPIFixture(t)
		f.set("e1:sched", fakeDaemon{confirms: true})
		var status control.DomainStatus
		started := time.Now()
		code := f.call(http.MethodPost, "/domains/chipre", `{"state":"out","operator":"ana"}`, &status)
		assert.Equal(t, code, http.StatusOK)
		assert.Assert(t, status.Active)
		assert.DeepEqual(t, status.Unconfirmed, []string{"e2"})
		assert.Assert(t, time.Since(started) >= settings.MaxStartPermit())
		assert.Assert(t, time.Since(started) <= 3*time.Second)

		f.set("e2:sched", fakeDaemon{confirms: true})
		started = time.Now()
		f.call(http.MethodPost, "/domains/chipre", `{"state":"out","operator":"ana"}`, &status)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

// Commands are rejected if the domain's row has changed since the operator read it, if they are invalid, and if the table
// service does not accept them.
func TestDomainCommandsRefused(t *testing.T) {
	f := newAPIFixture(t)
	var refused control.APIError
	assert.Equal(t, f.call(http.MethodPost, "/domains/chipre", `{"state":"out","if_version":7}`, &refused), http.StatusConflict)
	assert.Equal(t, f.call(http.MethodPost, "/domains/nowhere", `{"state":"out"}`, &refused), http.StatusNotFound)
	assert.Equal(t, f.call(http.MethodPost, "/domains/chipre", `{"state":"away"}`, &refused), http.StatusUnprocessableEntity)
	f.table.SetFaults(standin.TableFaults{Down: true})
	assert.Equal(t, f.call(http.MethodPost, "/domains/chipre", `{"state":"out"}`, &refused), http.StatusServiceUnavailable)
}

// The error response for a rejected settings tree lists its problems or the conflicting version.
func TestApplySettingsRefusals(t *testing.T) {
	f := newAPIFixture(t)
	var refused control.APIError
	code := f.call(http.MethodPost, "/settings", `{"parent":0,"levels":{"/":"[entry]\nfoo = 1\n"}}`, &refused)
	assert.Equal(t, code, http.StatusUnprocessableEntity)
	assert.Equal(t, refused.Problems[0].Line, 2)
	var head control.Head
	assert.Equal(t, f.call(http.MethodPost, "/settings", `{"parent":0,"levels":{"/":"[service.s]\nqueue = 1\n"}}`, &head), http.StatusOK)
	assert.Equal(t, head.Version, int64(1))
	code = f.call(http.MethodPost, "/settings", `{"parent":0,"levels":{"/":"[service.s]\nqueue = 2\n"}}`, &refused)
	assert.Equal(t, code, http.StatusConflict)
	assert.Equal(t, refused.Stale.Current, int64(1))
	var explanation settings.Explanation
	assert.Equal(t, f.call(http.MethodGet, "/settings/explain?path=/r&key=service.s.queue", "", &explanation), http.StatusOK)
	assert.Equal(t, explanation.Level, "/")
	assert.Equal(t, f.call(http.MethodGet, "/settings/explain?path=/r&key=service.s.q", "", &refused), http.StatusNotFound)
}

// An in-command must not be reported as active before the cells have applied it.
func TestDomainInWaitsForCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAPIFixture(t)
		cell := &innerproto.CellStatus{Cell: "chipre-0", Epoch: 1, DomainVersion: 0, StartsAllowed: false}
		f.set("e1:sched", fakeDaemon{confirms: true, status: &innerproto.StatusResponse{Cells: []*innerproto.CellStatus{cell}}})
		var status control.DomainStatus
		f.call(http.MethodPost, "/domains/chipre", `{"state":"in","operator":"ana"}`, &status)
		assert.Assert(t, !status.Active)
		cell.DomainVersion, cell.StartsAllowed = status.Version+1, true
		f.call(http.MethodPost, "/domains/chipre", `{"state":"in","operator":"ana"}`, &status)
		assert.Assert(t, status.Active)
	})
}
