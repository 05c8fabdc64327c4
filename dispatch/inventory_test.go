package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// encoded returns the value of an inventory without leased units in Ownership.Closed.
func encoded(open ...unitKey) string { return (&inventory{open: open}).encode() }

// A task that is done on a closed runner must not run again because the owner has applied its end but not stored it: the next owner
// learns of the end from the runner.
func TestEndThatIsNotDurableKeepsTaskInInventory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 500 * time.Millisecond, false })
		closing := largeRunner
		closing.ID, closing.Addr = "r1", "r1"
		fleet.Add(largeRunner)
		fleet.Add(closing)
		ctx, stop := context.WithCancel(t.Context())
		first := acquireNext(ctx, t, testConfig("n1", s, fleet), closing)
		time.Sleep(time.Second)
		job := shortJob("00000000000000aa", 3)
		s.setRefuse(refuseWrites(TableProgress, job.ID))
		outcome, _ := first.Submit(ctx, job, true)
		assert.Equal(t, outcome, OutcomeAccepted)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, fleet.Running("r1"), 3)
		closing.Draining = true
		first.SetRunner(ctx, closing, true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, fleet.Running("r1"), 0)
		stop()
		<-first.Done()

		fleet.SetFault("r1", emulator.RunnerUnreachable)
		ctx, stop = context.WithCancel(t.Context())
		previous, version, err := ReadOwner(ctx, s, "c0")
		assert.NilError(t, err)
		_, listed := previous.Closed["r1"]
		assert.Assert(t, listed, "r1 is not listed as closed")
		second, err := Acquire(ctx, testConfig("n2", s, fleet), previous, version, []runner.Info{largeRunner, closing})
		assert.NilError(t, err)
		second.SetRunner(ctx, largeRunner, true)
		second.SetRunner(ctx, closing, true)
		go second.Run(ctx)
		defer func() {
			stop()
			<-second.Done()
		}()
		time.Sleep(time.Second)
		fleet.SetFault("r1", emulator.RunnerWorks)
		s.setRefuse(nil)
		time.Sleep(withheldRetry)
		for i := range job.Steps[0].Count {
			assert.Equal(t, fleet.Done(workload.TaskID{Job: job.ID, Index: i}), 1, "task %d", i)
		}
		state, _ := second.State(job.ID)
		assert.Equal(t, state, workload.StateCompleted)
	})
}

// An owner must start nothing on runners that the row of its acquisition lists as closed, as its predecessor's did.
func TestAcquisitionKeepsInventoriesAndListsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		_, err := Acquire(t.Context(), testConfig("n1", s, nil), Ownership{}, 0, nil)
		assert.NilError(t, err)
		previous, version, err := ReadOwner(t.Context(), s, "c0")
		assert.NilError(t, err)
		previous.Closed = map[string]string{"r0": encoded(1, 2), "r1": "not base64"}
		c, err := Acquire(t.Context(), testConfig("n2", s, nil), previous, version, []runner.Info{largeRunner, {ID: "r1"}, {ID: "r2"}})
		assert.NilError(t, err)
		row, _, err := ReadOwner(t.Context(), s, "c0")
		assert.NilError(t, err)
		assert.DeepEqual(t, row.Closed, previous.Closed)
		c.mu.Lock()
		defer c.mu.Unlock()
		for id := range row.Closed {
			assert.Assert(t, c.listedClosed[id], id)
		}
		assert.DeepEqual(t, c.unresolved["r0"].inventory.open, []unitKey{1, 2})
		for _, id := range []string{"r1", "r2"} {
			assert.Assert(t, c.unresolved[id].inventory == nil, id)
		}
		var next Ownership
		c.listInventories(time.Now(), &next)
		assert.DeepEqual(t, next.Closed, map[string]string{"r0": previous.Closed["r0"]})
	})
}

// A runner of which the owner can't know all runs must not be listed: tasks that run there would start elsewhere.
func TestInventoryIsUnknownWhereRunsMayBe(t *testing.T) {
	c := newCell(testConfig("n1", nil, nil), 1)
	j := newJobState(shortJob("00000000000000aa", 3))
	units := j.newOccurrence(0).steps[0].units
	newRunner := func(id string) *runnerState {
		rs := &runnerState{info: runner.Info{ID: id}, runs: map[*run]bool{}, synced: true, lastResponseAt: time.Now()}
		c.runners[id] = rs
		return rs
	}
	closed := newRunner("closed")
	closed.runs[&run{unit: units[1], runner: closed}] = true
	newRunner("draining").info.Draining = true
	c.runners["draining"].present = true
	newRunner("silent").pollFailing = true
	c.runners["silent"].present = true
	newRunner("open").present = true
	newRunner("foreign").foreign = 1
	newRunner("no report").synced = false
	newRunner("awaits proof")
	c.unresolved["awaits proof"] = &unresolvedRunner{responded: true, inventory: &inventory{}}
	newRunner("unresolved").synced = false
	c.unresolved["unresolved"] = &unresolvedRunner{}
	newRunner("ended").unackedEnds = []endOfJob{{number: 1, unit: units[0].key()}, {number: 2, unit: units[2].key()}}
	c.runners["ended"].processed, c.runners["ended"].acked = 2, 1
	c.mu.Lock()
	defer c.mu.Unlock()
	var row Ownership
	c.listInventories(time.Now(), &row)
	assert.DeepEqual(t, row.Closed, map[string]string{"closed": encoded(units[1].key()), "draining": "", "silent": "", "ended": encoded(units[2].key())})
	assert.Equal(t, len(row.ClosedLeasesMs), 0)
}

// A recovered unit waits for an unresolved runner if that may have it. An inventory may lack a gang.
func TestAwaitsByInventory(t *testing.T) {
	c := newCell(testConfig("n1", nil, nil), 1)
	job := shortJob("00000000000000aa", 2)
	job.Steps = append(job.Steps, workload.Step{Count: 2, Gang: true, Resources: workload.Resources{CPU: 1000}})
	occ := newJobState(job).newOccurrence(0)
	occ.markRecovered()
	listed, other, gang := occ.steps[0].units[0], occ.steps[0].units[1], occ.steps[1].units[0]
	x := &unresolvedRunner{info: runner.Info{ID: "r0"}}
	c.unresolved["r0"] = x
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, c.awaitsUnresolved(listed) && c.awaitsUnresolved(other) && c.awaitsUnresolved(gang), "without an inventory")
	x.inventory = decodeInventory(encoded(listed.key()))
	assert.Assert(t, c.awaitsUnresolved(listed))
	assert.Assert(t, !c.awaitsUnresolved(other))
	assert.Assert(t, c.awaitsUnresolved(gang))
	x.inventory = decodeInventory("")
	assert.Assert(t, !c.awaitsUnresolved(listed) && c.awaitsUnresolved(gang), "nothing runs there")
	for _, invalid := range []string{"AA", "AAAAA", "****", "AAAA.AA", "AAAA.AAAA.AAAA"} {
		assert.Assert(t, decodeInventory(invalid) == nil, invalid)
	}
}

// Nodes of different builds must use the same keys: a unit with another key would not wait.
func TestUnitKeysDoNotChange(t *testing.T) {
	keys := map[unitKey]bool{}
	for _, occurrence := range []int{0, 1, 300} {
		for step := range 10 {
			for index := range 100 {
				keys[keyOf(workload.TaskID{Job: "00000000000000aa", Occurrence: occurrence, Step: step, Index: index})] = true
			}
		}
	}
	assert.Assert(t, len(keys) >= 2990, "%d keys of 3000 units", len(keys))
	got := encoded(keyOf(workload.TaskID{Job: "00000000000000aa"}), keyOf(workload.TaskID{Job: "9c13454efe63f4e6", Occurrence: 70000, Step: 2, Index: 9999}))
	assert.Equal(t, got, "3rcSe3rw")
}

// The ownership row is part of each commit, so it must not grow with the number of closed runners or of their tasks.
func TestInventoriesAreBounded(t *testing.T) {
	for name, size := range map[string]int{"many runners": 1, "many units": 500, "one large": 5000} {
		t.Run(name, func(t *testing.T) {
			closed := map[string]string{}
			for i := range 2 * maxInventories {
				closed[fmt.Sprintf("i-%010d", i)] = strings.Repeat("AAAA", size)
			}
			bounded := boundInventories(closed)
			bytes := 0
			for _, id := range slices.Sorted(maps.Keys(bounded)) {
				assert.Equal(t, bounded[id], closed[id])
				bytes += encodedSize(id) + encodedSize(bounded[id])
			}
			assert.Assert(t, len(bounded) <= maxInventories && bytes <= maxInventoryBytes, "%d runners, %d bytes", len(bounded), bytes)
			assert.Assert(t, len(bounded) > 0 || size > maxInventoryBytes/4)
		})
	}
}
