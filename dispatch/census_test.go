package dispatch_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// missingJobs returns the lines about accepted jobs that the owner's state does not have.
func (l *logRecorder) missingJobs() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		if line["msg"] == "accepted jobs are missing in the owner's state" {
			found = append(found, line)
		}
	}
	return found
}

// hidingStore does not show some rows of some tables.
type hidingStore struct {
	store.Store
	tables []string
	name   string
}

func (s *hidingStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := s.Store.Range(ctx, table, part, from, to, limit)
	if slices.Contains(s.tables, table) {
		page.Rows = slices.DeleteFunc(slices.Clone(page.Rows), func(r store.Row) bool { return r.Key.Name == s.name })
	}
	return page, err
}

// unreadableStore does not show the jobs of the cell.
type unreadableStore struct{ store.Store }

func (s unreadableStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if table == dispatch.TableJobs {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// An owner that was lost before it had read the jobs passes on what its predecessor had recorded.
func TestRecordedJobsOutlastAnOwnerThatReadNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
		first, stop := cl.startOwner("a", true)
		for i := range 3 {
			cl.submit(first, jobOf(i+1, tasks(1, 8000)))
		}
		time.Sleep(2 * time.Second)
		cl.kill(first, stop)
		cfg := cl.config("b", true)
		cfg.Store = unreadableStore{cl.store}
		previous, version, err := dispatch.ReadOwner(t.Context(), cl.store, cellName)
		assert.NilError(t, err)
		_, err = dispatch.Acquire(t.Context(), cfg, previous, version, cl.infos)
		assert.ErrorIs(t, err, dispatch.ErrNotLoaded)
		cl.store.Delete(store.Key{Table: dispatch.TableJobs, Part: cellName, Name: jobOf(2).ID})
		third, stopThird := cl.startOwner("c", true)
		time.Sleep(2 * time.Second)
		lines := logs.missingJobs()
		assert.Equal(t, len(lines), 1, "%v", lines)
		assert.Equal(t, lines[0]["unread"], 1.0)
		stopThird()
		<-third.Done()
	})
}

// An accepted job whose rows a new owner did not read was in nobody's state, and no line told it.
func TestJobsThatANewOwnerHasNotReadAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		tables []string
		gaps   map[string]float64
		named  string
	}{
		"no row is hidden":       {nil, nil, ""},
		"job row is hidden":      {[]string{dispatch.TableJobs}, map[string]float64{"unread": 1, "no_row": 1}, "0000000000000002"},
		"all rows are hidden":    {[]string{dispatch.TableJobs, dispatch.TableProgress}, map[string]float64{"unread": 1, "no_row": 0}, ""},
		"progress row is hidden": {[]string{dispatch.TableProgress}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
				first, stop := cl.startOwner("a", true)
				for i := range 3 {
					cl.submit(first, jobOf(i+1, longRunning(1, 8000)))
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, cl.gauge("jobs", "running"), 3)
				assert.Equal(t, cl.gauge("tasks", "active"), 3)
				cl.kill(first, stop)
				cfg := cl.config("b", true)
				cfg.Store = &hidingStore{cl.store, tc.tables, "0000000000000002"}
				ctx, cancel := context.WithCancel(t.Context())
				second := cl.acquireWith(ctx, cfg)
				go second.Run(ctx)
				t.Cleanup(func() {
					cancel()
					<-second.Done()
				})
				time.Sleep(20 * time.Second)
				lines := logs.missingJobs()
				if tc.gaps == nil {
					assert.Equal(t, len(lines), 0, "%v", lines)
				} else {
					assert.Equal(t, len(lines), 1, "%v", lines)
					for gap, want := range tc.gaps {
						assert.Equal(t, lines[0][gap], want, "%v", lines[0])
						assert.Equal(t, float64(cl.gauge("missing_jobs", gap)), want)
					}
					assert.Equal(t, lines[0]["recorded"], 3.0)
					assert.Equal(t, lines[0]["read"], 2.0)
					assert.Equal(t, lines[0]["requests"], tc.named)
					assert.Equal(t, lines[0]["level"], "error")
				}
				cancel()
				<-second.Done()
				assert.Equal(t, cl.gauge("missing_jobs", "unread"), 0, "the values of an ended cell must not remain")
			})
		})
	}
}

// A job that is submitted again is accepted because the index names the cell. If the cell does not have it, nobody runs it.
func TestIndexedJobThatTheCellDoesNotHaveIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		job := jobOf(1, tasks(1, 8000))
		cl.store.Put(store.Key{Table: dispatch.TableIndex, Part: "i0", Name: job.ID}, []byte(cellName))
		cl.submit(c, job)
		time.Sleep(3 * time.Second)
		lines := logs.missingJobs()
		assert.Equal(t, len(lines), 1, "%v", lines)
		assert.Equal(t, lines[0]["indexed"], 1.0)
		assert.Equal(t, lines[0]["requests"], job.ID)
		assert.Equal(t, cl.gauge("missing_jobs", "indexed"), 1)
		stop()
		<-c.Done()
	})
}

// assertRecordedJobs fails the test unless the ownership row of a cell has the number of its stored jobs.
func assertRecordedJobs(t *testing.T, s *emulator.Store, cell string, want int) {
	t.Helper()
	owner, _, err := dispatch.ReadOwner(t.Context(), s, cell)
	assert.NilError(t, err)
	rows, err := store.ReadAll(t.Context(), s, dispatch.TableJobs, cell)
	assert.NilError(t, err)
	assert.Equal(t, len(rows.Rows), want)
	assert.Equal(t, owner.Jobs, want, "cell %s", cell)
}

// The number of stored jobs is exact over refused, repeated and lost commits, takeovers, removals and takeovers of tasks from
// other cells. Otherwise a new owner would report jobs that are not missing, or miss some that are.
func TestStoredJobsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Second))
		c, stop := cl.startOwner("a", true)
		next := 1
		submit := func(count int) {
			for range count {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				_, _ = c.Submit(ctx, jobOf(next, tasks(1, 8000)), true)
				cancel()
				next++
			}
		}
		submit(3)
		for _, fault := range []emulator.StoreFault{emulator.StoreSilent, emulator.StoreRefuses, emulator.StoreLosesResponses,
			emulator.StoreAppliesLate, emulator.StoreWorks} {
			cl.store.SetFault(fault)
			submit(2)
			cl.store.SetFault(emulator.StoreWorks)
			submit(1)
			stop()
			<-c.Done()
			c, stop = cl.startOwner("b", false)
			time.Sleep(5 * time.Second)
		}
		rows, err := store.ReadAll(t.Context(), cl.store, dispatch.TableJobs, cellName)
		assert.NilError(t, err)
		assert.Assert(t, len(rows.Rows) >= 8, "%d", len(rows.Rows))
		assertRecordedJobs(t, cl.store, cellName, len(rows.Rows))
		time.Sleep(4 * time.Minute)
		assertRecordedJobs(t, cl.store, cellName, 0)
		assert.Equal(t, len(logs.missingJobs()), 0, "%v", logs.missingJobs())
		stop()
		<-c.Done()
	})
}

// A host stores the jobs of which it has taken tasks over, and counts them.
func TestHostedJobsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, logs := newDeployment(t, fixedDuration(emulator.Endless), 4, 4), &logRecorder{}
		d.logs = logs
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, stopSecond := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(8, 28000))
		d.submit(first, job)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 2)
		assertRecordedJobs(t, d.store, "c0", 1)
		assertRecordedJobs(t, d.store, "c1", 1)
		assert.Equal(t, d.gauge("jobs", "hosted"), 1)
		assert.Equal(t, d.gauge("tasks", "remote"), 6, "the host does not have the tasks that run at the origin")
		stopSecond()
		<-second.Done()
		_, _ = d.own("c1", "c", d.store, d.fleet)
		time.Sleep(5 * time.Second)
		found, err := first.Cancel(t.Context(), job.ID)
		assert.Assert(t, found && err == nil)
		time.Sleep(5 * time.Minute)
		assertRecordedJobs(t, d.store, "c0", 0)
		assertRecordedJobs(t, d.store, "c1", 0)
		assert.Equal(t, len(logs.missingJobs()), 0, "%v", logs.missingJobs())
		for _, text := range logs.texts {
			var line map[string]any
			assert.NilError(t, json.Unmarshal([]byte(text), &line))
			assert.Assert(t, line["level"] != "error", text)
		}
	})
}
