package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// organisationJob returns a job of an organisation.
func organisationJob(id int, organisation string) *workload.Job {
	job := jobOf(id, tasks(1, 4000))
	job.Organisation = organisation
	return job
}

// assertRefusesOthers checks that another organisation can neither submit nor cancel a job, and that its own organisation can submit it again.
func assertRefusesOthers(t *testing.T, c *dispatch.Cell, id int, want workload.State) {
	t.Helper()
	job := organisationJob(id, "a")
	outcome, _ := c.Submit(t.Context(), organisationJob(id, "b"), true)
	assert.Equal(t, outcome, dispatch.OutcomeConflict)
	found, err := c.CancelFor(t.Context(), job.ID, "b")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, state(c, job), want)
	for _, organisation := range []string{"a", ""} {
		outcome, _ = c.Submit(t.Context(), organisationJob(id, organisation), true)
		assert.Equal(t, outcome, dispatch.OutcomeAccepted, organisation)
	}
	organisation, found := c.Organisation(job.ID)
	assert.Assert(t, found)
	assert.Equal(t, organisation, "a")
}

// A job keeps its organisation while it runs, after it has ended, and under the next owner, which reads the rows. Otherwise another
// organisation could cancel it or take its ID.
func TestJobKeepsItsOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(2*time.Second))
		c, stop := cl.startOwner("a", true)
		cl.submit(c, organisationJob(1, "a"))
		time.Sleep(time.Second)
		assertRefusesOthers(t, c, 1, workload.StateRunning)
		time.Sleep(2 * time.Second)
		assertRefusesOthers(t, c, 1, workload.StateCompleted)
		stop()
		<-c.Done()
		c, stop = cl.startOwner("b", false)
		time.Sleep(time.Second)
		assertRefusesOthers(t, c, 1, workload.StateCompleted)
		organisation, found, err := dispatch.StoredOrganisation(t.Context(), cl.store, cellName, jobOf(1).ID)
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, organisation, "a")
		stop()
		<-c.Done()
	})
}

// Jobs without an organisation, such as those of earlier builds, are not checked.
func TestJobWithoutOrganisationIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		cl.submit(c, organisationJob(1, ""))
		cl.submit(c, organisationJob(1, "b"))
		found, err := c.CancelFor(t.Context(), jobOf(1).ID, "b")
		assert.NilError(t, err)
		assert.Assert(t, found)
		stop()
		<-c.Done()
	})
}

// A submission with the ID of another organisation's undecided submission gets the decision that follows from that one. It must not share its
// outcome.
func TestOrganisationsSubmitTheSameID(t *testing.T) {
	for name, c := range map[string]struct {
		fault                 emulator.StoreFault
		wantFirst, wantSecond dispatch.Outcome
		organisation          string
	}{
		"accepted": {emulator.StoreWorks, dispatch.OutcomeAccepted, dispatch.OutcomeConflict, "a"},
		"refused":  {emulator.StoreRefuses, dispatch.OutcomeRefused, dispatch.OutcomeRefused, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1, fixedDuration(time.Hour))
				cell, stop := cl.startOwner("a", true)
				time.Sleep(time.Second)
				cl.store.SetFault(c.fault)
				first := make(chan dispatch.Outcome, 1)
				go func() {
					outcome, _ := cell.Submit(t.Context(), organisationJob(1, "a"), true)
					first <- outcome
				}()
				synctest.Wait()
				outcome, _ := cell.Submit(t.Context(), organisationJob(1, "b"), true)
				assert.Equal(t, outcome, c.wantSecond)
				assert.Equal(t, <-first, c.wantFirst)
				cl.store.SetFault(emulator.StoreWorks)
				time.Sleep(5 * time.Second)
				organisation, _ := cell.Organisation(jobOf(1).ID)
				assert.Equal(t, organisation, c.organisation)
				stop()
				<-cell.Done()
			})
		})
	}
}

// A submission of a job that the index names but the cell does not have, for example because its row can't be decoded, is not accepted
// before the job's organisation is known.
func TestIndexedJobOfUnknownOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		for id, organisation := range map[int]string{1: "b", 2: ""} {
			job := organisationJob(id, organisation)
			cl.store.Put(store.Key{Table: dispatch.TableIndex, Part: "i0", Name: job.ID}, []byte(cellName))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			outcome, elsewhere := c.Submit(ctx, job, true)
			cancel()
			if organisation == "" {
				assert.Equal(t, outcome, dispatch.OutcomeAccepted)
				continue
			}
			assert.Equal(t, outcome, dispatch.OutcomeElsewhere)
			assert.Equal(t, elsewhere, cellName)
		}
		stop()
		<-c.Done()
	})
}
