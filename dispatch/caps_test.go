package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// jobOfOrganisation is jobOf for a job of the organisation "x".
func jobOfOrganisation(id int, steps ...workload.Step) *workload.Job {
	job := jobOf(id, steps...)
	job.Organisation = "x"
	return job
}

// limitRows are the rows of the table of limits, with one row for the organisation "x".
type limitRows struct {
	t       *testing.T
	store   *emulator.Store
	row     quota.Row
	version int64
}

func (cl *cluster) limits() *limitRows { return &limitRows{t: cl.t, store: cl.store} }

// set writes the row, which gives a cell a limit of processor time, in thousandths of a core, out of a cap. before is the former limit; 0 if
// there is none.
func (l *limitRows) set(cell string, limit, before, ceiling int64) {
	l.t.Helper()
	share := quota.Share{Limit: quota.Amounts{limit}}
	if before > 0 {
		share.Before = &quota.Amounts{before}
	}
	l.row = quota.Row{Config: 1, Cap: quota.Amounts{ceiling}, Cells: map[string]quota.Share{cell: share}}
	value, err := l.row.Encode()
	assert.NilError(l.t, err)
	l.version, err = l.store.Commit(l.t.Context(), store.Txn{Writes: []store.Write{{Key: store.Key{Table: quota.Table, Name: "x"}, Value: value}}})
	assert.NilError(l.t, err)
}

// tell passes the rows to a cell, as read now.
func (l *limitRows) tell(c *dispatch.Cell) {
	l.t.Helper()
	page, err := l.store.Range(l.t.Context(), quota.Table, "", "", "", 0)
	assert.NilError(l.t, err)
	c.SetQuota(map[string]quota.VersionedRow{"x": {Row: l.row, Version: l.version}}, page.Version)
}

// awaiting returns the configuration of an owner that waits for the table of limits.
func (cl *cluster) awaiting(node string) dispatch.Config {
	cfg := cl.config(node, true)
	cfg.AwaitQuota = true
	return cfg
}

// runs returns the number of tasks that run on all runners.
func (cl *cluster) runs() int {
	count := 0
	for _, ids := range cl.fleet.Runs() {
		count += len(ids)
	}
	return count
}

func (cl *cluster) owner() dispatch.Ownership {
	cl.t.Helper()
	owner, _, err := dispatch.ReadOwner(cl.t.Context(), cl.store, cellName)
	assert.NilError(cl.t, err)
	return owner
}

// Tasks of an organisation must not start before the limits are known, nor beyond them, while those of others do. A task that is larger than
// the cap counts as the cap, and best-effort tasks count in full.
func TestRunsStayWithinTheLimit(t *testing.T) {
	bestEffort := tasks(10, 1000)
	bestEffort.BestEffort = true
	gang := tasks(4, 1000)
	gang.Gang = true
	for name, test := range map[string]struct {
		step workload.Step
		want int
	}{
		"short": {tasks(10, 1000), 3}, "best effort": {bestEffort, 3}, "larger than the cap": {tasks(10, 5000), 1},
		"long-running": {longRunning(10, 1000), 3}, "gang larger than the cap": {gang, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2, fixedDuration(time.Hour))
				limits := cl.limits()
				limits.set(cellName, 3500, 0, 3500)
				c, stop := cl.startOwnerOf(cl.awaiting("a"))
				time.Sleep(2 * time.Second)
				cl.submit(c, jobOfOrganisation(1, test.step))
				cl.submit(c, jobOf(2, tasks(5, 1000)))
				time.Sleep(2 * time.Second)
				assert.Equal(t, cl.runs(), 5)
				limits.tell(c)
				time.Sleep(4 * time.Second)
				assert.Equal(t, cl.runs(), 5+test.want)
				cell := c.LoadWithPlaces()
				assert.Assert(t, cell.Organisations["x"].Waiting[0] > 0)
				assert.Equal(t, cell.BacklogMs, int64(0), "tasks that wait for a limit count as load")
				stop()
				<-c.Done()
			})
		})
	}
}

// A read of the limits from before the acquisition must not be applied: the previous owner may have acknowledged lower ones.
func TestLimitsFromBeforeTheAcquisitionAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 3000, 0, 3000)
		c, stop := cl.startOwnerOf(cl.awaiting("a"))
		cl.submit(c, jobOfOrganisation(1, tasks(5, 1000)))
		c.SetQuota(map[string]quota.VersionedRow{"x": {Row: limits.row, Version: limits.version}}, limits.version)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.runs(), 0)
		assert.Equal(t, cl.owner().Quota, int64(0))
		limits.tell(c)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.runs(), 3)
		assert.Assert(t, cl.owner().Quota > limits.version)
		stop()
		<-c.Done()
	})
}

// After a takeover, tasks that may run on a runner that does not respond count, until that is known.
func TestTasksOnSilentRunnersCountAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 8000, 0, 8000)
		first, kill := cl.startOwnerOf(cl.awaiting("a"))
		limits.tell(first)
		time.Sleep(time.Second)
		// Each runner can hold half of them.
		step := tasks(20, 1000)
		step.MaxPerRunner = 4
		cl.submit(first, jobOfOrganisation(1, step))
		time.Sleep(time.Second)
		assert.Equal(t, cl.runs(), 8)
		cl.store.SetFault(emulator.StoreSilent)
		kill()
		<-first.Done()
		cl.store.SetFault(emulator.StoreWorks)
		cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
		next, stop := cl.startOwnerOf(cl.awaiting("b"))
		limits.tell(next)
		// No task of this job may run on r1, so only the limit holds it back.
		cl.submit(next, jobOfOrganisation(2, tasks(20, 1000)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running("r0"), 4)
		assert.Equal(t, cl.runs(), 8)
		time.Sleep(lease + 2*time.Second)
		assert.Equal(t, cl.runs(), 8)
		assert.Equal(t, cl.fleet.Running("r0"), 8, "the tasks of r1 have ended")
		stop()
		<-next.Done()
	})
}

// A start without a response counts until it is known whether it was executed.
func TestStartWithoutResponseCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 4000, 0, 4000)
		c, stop := cl.startOwnerOf(cl.awaiting("a"))
		limits.tell(c)
		time.Sleep(time.Second)
		cl.fleet.SetFault("r0", emulator.RunnerLosesResponses)
		cl.fleet.SetFault("r1", emulator.RunnerLosesResponses)
		cl.submit(c, jobOfOrganisation(1, tasks(20, 1000)))
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, cl.runs() <= 4, "%d tasks run", cl.runs())
		}
		cl.fleet.SetFault("r0", emulator.RunnerWorks)
		cl.fleet.SetFault("r1", emulator.RunnerWorks)
		time.Sleep(10 * time.Second)
		assert.Equal(t, cl.runs(), 4)
		stop()
		<-c.Done()
	})
}

// A lower limit must stop nothing, and nothing may start until the cell holds less. The ownership row tells what is held meanwhile.
func TestLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, func(task workload.TaskID, _ int) (time.Duration, bool) {
			return time.Duration(2+task.Index) * time.Second, false
		})
		limits := cl.limits()
		limits.set(cellName, 4000, 0, 4000)
		c, stop := cl.startOwnerOf(cl.awaiting("a"))
		limits.tell(c)
		time.Sleep(time.Second)
		cl.submit(c, jobOfOrganisation(1, tasks(8, 1000)))
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, cl.runs(), 4)
		limits.set(cellName, 2000, 4000, 2000)
		limits.tell(c)
		time.Sleep(200 * time.Millisecond)
		owner := cl.owner()
		assert.Assert(t, owner.Quota >= limits.version, "the limit is not acknowledged")
		assert.DeepEqual(t, owner.QuotaOver, map[string]quota.Amounts{"x": {4000}})
		assert.Equal(t, cl.runs(), 4)
		// The first two have ended after 3 s, and the third one is still within the limit.
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.runs(), 2)
		assert.Equal(t, len(cl.fleet.Starts()), 4)
		assert.Equal(t, len(cl.owner().QuotaOver), 0)
		time.Sleep(time.Second)
		assert.Equal(t, cl.runs(), 2)
		assert.Equal(t, len(cl.fleet.Starts()), 5)
		stop()
		<-c.Done()
	})
}

// What an owner has acknowledged must stay in the row of a successor that is lost before its first commit.
func TestAcknowledgementIsKeptByTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 4000, 0, 4000)
		c, kill := cl.startOwnerOf(cl.awaiting("a"))
		limits.tell(c)
		time.Sleep(time.Second)
		cl.submit(c, jobOfOrganisation(1, tasks(8, 1000)))
		time.Sleep(500 * time.Millisecond)
		limits.set(cellName, 2000, 4000, 2000)
		limits.tell(c)
		time.Sleep(time.Second)
		before := cl.owner()
		kill()
		<-c.Done()
		next := cl.acquireWith(t.Context(), cl.awaiting("b"))
		owner := cl.owner()
		assert.Equal(t, owner.Node, "b")
		assert.Assert(t, owner.Quota >= before.Quota)
		assert.DeepEqual(t, owner.QuotaOver, before.QuotaOver)
		next.Stop()
		next.Run(t.Context())
	})
}

// The runs of a cancelled job that the previous owner had not stopped yet must count for the next one.
func TestRunsOfEndedJobsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 4000, 0, 4000)
		a := &link{Fleet: cl.fleet, Store: cl.store}
		cfg := cl.awaiting("a")
		cfg.Runners = &stopsFail{a}
		first, kill := cl.startOwnerOf(cfg)
		limits.tell(first)
		time.Sleep(time.Second)
		job := jobOfOrganisation(1, tasks(4, 1000))
		cl.submit(first, job)
		time.Sleep(time.Second)
		_, err := first.Cancel(t.Context(), job.ID)
		assert.NilError(t, err)
		kill()
		<-first.Done()
		assert.Equal(t, cl.runs(), 4)
		// Nor does the next owner reach the runner's stops at first.
		cfg = cl.awaiting("b")
		stops := &stopsFail{a}
		cfg.Runners = stops
		next, stop := cl.startOwnerOf(cfg)
		// Another runner has room.
		other := cl.infos[0]
		other.ID, other.Addr = "r9", "r9"
		cl.fleet.Add(other)
		next.SetRunner(t.Context(), other, true)
		limits.tell(next)
		cl.submit(next, jobOfOrganisation(2, tasks(4, 1000)))
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.runs(), 4)
		assert.Equal(t, cl.fleet.Running("r9"), 0)
		stop()
		<-next.Done()
	})
}

// The runs of a job that the previous owner had cancelled shortly before must count while they may remain on a runner that does not respond.
func TestRunsOfEndedJobsOnSilentRunnersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		limits := cl.limits()
		limits.set(cellName, 4000, 0, 4000)
		cfg := cl.awaiting("a")
		cfg.Runners = &stopsFail{&link{Fleet: cl.fleet, Store: cl.store}}
		first, kill := cl.startOwnerOf(cfg)
		limits.tell(first)
		time.Sleep(time.Second)
		job := jobOfOrganisation(1, tasks(4, 1000))
		cl.submit(first, job)
		time.Sleep(time.Second)
		_, err := first.Cancel(t.Context(), job.ID)
		assert.NilError(t, err)
		kill()
		<-first.Done()
		cl.fleet.SetFault("r0", emulator.RunnerUnreachable)
		next, stop := cl.startOwnerOf(cl.awaiting("b"))
		other := cl.infos[0]
		other.ID, other.Addr = "r9", "r9"
		cl.fleet.Add(other)
		next.SetRunner(t.Context(), other, true)
		limits.tell(next)
		cl.submit(next, jobOfOrganisation(2, tasks(4, 1000)))
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, cl.runs() <= 4, "%d tasks run", cl.runs())
		}
		assert.Equal(t, cl.fleet.Running("r9"), 4)
		stop()
		<-next.Done()
	})
}

// stopsFail is a link on which no stop arrives.
type stopsFail struct{ *link }

func (s *stopsFail) Stop(context.Context, runner.Target, workload.TaskID, int, int64) error {
	return runner.ErrNotSent
}

// Tasks that another cell hosts must keep within the limit of the host, and start once it has one.
func TestHostedTasksCountInTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		limits := d.limits()
		limits.row = quota.Row{Config: 1, Cap: quota.Amounts{200_000}, Cells: map[string]quota.Share{"c0": {Limit: quota.Amounts{200_000}}}}
		limits.version = 1
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		limits.tell(first)
		limits.tell(second)
		time.Sleep(3 * time.Second)
		job := jobOfOrganisation(1, longRunning(2, 56000))
		d.submit(first, job)
		time.Sleep(time.Second)
		assert.Equal(t, d.runningIn("c0", job), 2)
		// Its cell has no place for the task of the lost runner.
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 5*time.Second)
		assert.Equal(t, d.runningIn("c0", job), 1)
		assert.Equal(t, d.runningIn("c1", job), 0)
		limits.set("c1", 100_000, 0, 200_000)
		limits.row.Cells["c0"] = quota.Share{Limit: quota.Amounts{100_000}}
		limits.tell(second)
		time.Sleep(time.Second)
		assert.Equal(t, d.runningIn("c1", job), 1)
		d.assertNoOverlap()
	})
}

// A task that waits for a limit must not be delegated: the other cell would have to let it wait too, and the delegation costs two commits.
func TestTasksThatWaitForALimitAreNotDelegated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		limits := d.limits()
		limits.row = quota.Row{Config: 1, Cap: quota.Amounts{60_000}, Cells: map[string]quota.Share{"c0": {Limit: quota.Amounts{60_000}}}}
		limits.version = 1
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		limits.tell(first)
		limits.tell(second)
		time.Sleep(3 * time.Second)
		job := jobOfOrganisation(1, longRunning(2, 56000))
		d.submit(first, job)
		time.Sleep(10 * time.Second)
		assert.Equal(t, d.runningIn("c0", job), 1)
		page, err := d.store.Range(t.Context(), dispatch.TableProgress, "c1", "", "", 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 0, "the task was delegated")
		// What short tasks need is not counted as taken by it.
		outcome, _ := first.Submit(t.Context(), jobOf(2, tasks(1, 40000)), false)
		assert.Equal(t, outcome, dispatch.OutcomeAccepted)
	})
}

// Tasks of an organisation that neither the configuration nor the table has start once their job is old enough, and those of an organisation
// without a cap at once. Those of an organisation with a cap wait for its row.
func TestOrganisationsWithoutRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwnerOf(cl.awaiting("a"))
		config := &catalog.Config{Version: 1, Organisations: map[string]*catalog.Organisation{
			"free": {Name: "free"}, "capped": {Name: "capped", Cap: workload.Resources{CPU: 1000}}}}
		c.SetCatalog(config)
		c.SetQuota(nil, c.Epoch())
		time.Sleep(time.Second)
		for i, organisation := range []string{"x", "free", "capped"} {
			job := jobOf(i+1, tasks(1<<i, 1000))
			job.Organisation = organisation
			cl.submit(c, job)
		}
		time.Sleep(time.Second)
		assert.Equal(t, cl.runs(), 2)
		time.Sleep(5 * time.Second)
		assert.Equal(t, cl.runs(), 3)
		stop()
		<-c.Done()
	})
}

// Deployments without organisations must have no bytes of the caps in their rows.
func TestNoLimitsInRowsWithoutOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwnerOf(cl.awaiting("a"))
		cl.submit(c, jobOf(1, tasks(3, 1000)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.runs(), 3)
		assert.Assert(t, !c.NeedsQuota())
		owner := cl.owner()
		assert.Equal(t, owner.Quota, int64(0))
		assert.Assert(t, owner.QuotaOver == nil)
		assert.Assert(t, c.LoadWithPlaces().Organisations == nil)
		stop()
		<-c.Done()
	})
}
