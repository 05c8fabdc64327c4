package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
)

// Jobs of the commit in flight counted nowhere, so a cell accepted twice what it had capacity for while other cells were idle.
func TestJobsOfTheCommitInFlightTakeCapacity(t *testing.T) {
	for name, commit := range map[string]time.Duration{"usual store": 5 * time.Millisecond, "slow store": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs, fitting = 40, 4
				cl := newCluster(t, 1, fixedDuration(time.Minute))
				c, _ := cl.startOwner("a", true)
				time.Sleep(2 * time.Second)
				cl.store.SetTxnTime(commit)
				outcomes := make(chan dispatch.Outcome, jobs)
				for i := range jobs {
					go func() {
						outcome, _ := c.Submit(t.Context(), jobOf(1+i, tasks(4, 4000)), false)
						outcomes <- outcome
					}()
					time.Sleep(commit / 10)
				}
				counts := map[dispatch.Outcome]int{}
				for range jobs {
					counts[<-outcomes]++
				}
				assert.DeepEqual(t, counts, map[dispatch.Outcome]int{dispatch.OutcomeAccepted: fitting, dispatch.OutcomeFull: jobs - fitting})
			})
		})
	}
}
