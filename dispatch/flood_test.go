package dispatch_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/workload"
)

// organisations returns a configuration with organisations of the given weights.
func organisations(t *testing.T, weights map[string]float64) *catalog.Config {
	t.Helper()
	config := &catalog.Config{}
	for name, weight := range weights {
		assert.NilError(t, config.AddOrganisation(catalog.Organisation{Name: name, Weight: weight}, nil))
	}
	return config
}

// A backlog of one organisation kept the jobs of all others waiting until they were late: jobs were served by their objectives alone.
func TestBacklogOfOneOrganisationDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The runner has processors for 16 tasks at a time.
		cl := newCluster(t, 1, fixedDuration(time.Second))
		c, stop := cl.startOwner("a", true)
		c.SetCatalog(organisations(t, map[string]float64{"flood": 8, "steady": 8}))
		time.Sleep(2 * time.Second)
		send := func(id int, organisation string) {
			job := jobOf(id, tasks(1, 4000))
			job.Organisation = organisation
			outcome, _ := c.Submit(t.Context(), job, true)
			assert.Assert(t, outcome == dispatch.OutcomeAccepted || organisation == "flood", "%s: %v", organisation, outcome)
		}
		// One sends five jobs a second, and the other 40, with the same objective of 3 s after their submission. Tasks take 1 s, and the wait for
		// the end of a running one is as long at most.
		const steady = 24
		var late atomic.Int32
		for i := range steady {
			for f := range 8 {
				send(1000+8*i+f, "flood")
			}
			send(1+i, "steady")
			time.AfterFunc(2500*time.Millisecond, func() {
				if state(c, jobOf(1+i)) != workload.StateCompleted {
					late.Add(1)
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, late.Load(), int32(0), "jobs of the steady organisation were late")
		stop()
		<-c.Done()
	})
}

// Of an organisation that sends far more than its weight gives while all is full, what can't be served in time is refused at once: it waited
// until it had no value. What is accepted is served in time, what is refused never runs, and other organisations are not refused.
func TestExcessIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Second))
		c, stop := cl.startOwner("a", true)
		c.SetCatalog(organisations(t, map[string]float64{"flood": 2, "steady": 8}))
		time.Sleep(2 * time.Second)
		var accepted, refused []*workload.Job
		send := func(id int, organisation string) dispatch.Outcome {
			job := jobOf(id, tasks(1, 4000))
			job.Organisation = organisation
			outcome, _ := c.Submit(t.Context(), job, true)
			if outcome == dispatch.OutcomeExcess {
				refused = append(refused, job)
			} else {
				accepted = append(accepted, job)
			}
			return outcome
		}
		for i := range 80 {
			for f := range 4 {
				send(1000+4*i+f, "flood")
			}
			assert.Equal(t, send(1+i, "steady"), dispatch.OutcomeAccepted)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, len(refused) > 150, "%d refused", len(refused))
		assert.Assert(t, c.Excess("flood") > 0)
		assert.Equal(t, c.Load().ExcessMs["flood"], c.Excess("flood").Milliseconds())
		// A job that was accepted is accepted again.
		outcome, _ := c.Submit(t.Context(), accepted[len(accepted)-2], true)
		assert.Equal(t, outcome, dispatch.OutcomeAccepted)
		time.Sleep(20 * time.Second)
		for _, job := range accepted {
			assert.Equal(t, state(c, job), workload.StateCompleted)
		}
		for _, job := range refused {
			assert.Equal(t, cl.startsOf(job), 0)
		}
		assert.Equal(t, send(9000, "flood"), dispatch.OutcomeAccepted, "there is idle capacity")
		assert.Equal(t, c.Excess("flood"), time.Duration(0))
		stop()
		<-c.Done()
	})
}

// Without organisations no job is refused for its share.
func TestNothingIsRefusedWithoutOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		for i := range 300 {
			job := jobOf(1+i, tasks(1, 4000))
			job.Organisation = "flood"
			cl.submit(c, job)
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		<-c.Done()
	})
}
