package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/intake"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

func (c *cancelCluster) submitAs(node int, id, organisation string) intake.Outcome {
	ctx, cancel := context.WithTimeout(c.t.Context(), clientDeadline)
	defer cancel()
	return c.nodes[node].Submit(ctx, &workload.Job{ID: id, Organisation: organisation, Occurrences: 1, AcceptedAt: time.Now(),
		Policy: workload.Policy{Queue: "q"}, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 1000}}}}).Outcome
}

// sharedID is the ID of the job of the tests.
const sharedID = "00000000000000aa"

// assertAccess checks the answers to an organisation's requests about the job sharedID, by each node.
func (c *cancelCluster) assertAccess(organisation string, found bool, submitted intake.Outcome) {
	c.t.Helper()
	for i, n := range c.nodes {
		_, ok, err := n.State(c.t.Context(), sharedID, organisation)
		assert.NilError(c.t, err)
		assert.Equal(c.t, ok, found, "state for %q by node %d", organisation, i)
		assert.Equal(c.t, c.submitAs(i, sharedID, organisation), submitted, "submission by %q to node %d", organisation, i)
	}
}

// A job answers to its own organisation only, whichever node is asked: the owner of its cell or another one, which calls the owner.
func TestJobsOfOtherOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t)
		const id = sharedID
		// The name of an organisation may have any characters.
		const name, other = "Café \n 北", "cartago"
		assert.Equal(t, c.submitAs(0, id, name), intake.Accepted)
		for i, n := range c.nodes {
			found, err := n.Cancel(t.Context(), id, other)
			assert.NilError(t, err)
			assert.Assert(t, !found, "cancelled by node %d", i)
		}
		c.assertAccess(other, false, intake.Conflict)
		c.assertAccess(name, true, intake.Accepted)
		c.assertAccess("", true, intake.Accepted)
		for _, n := range c.nodes {
			state, found, err := n.State(t.Context(), id, name)
			assert.NilError(t, err)
			assert.Assert(t, found && state != workload.StateCancelled)
		}
		found, err := c.nodes[1-c.running()].Cancel(t.Context(), id, name)
		assert.NilError(t, err)
		assert.Assert(t, found)
		c.assertAccess(other, false, intake.Conflict)
		c.assertAccess(name, true, intake.Accepted)
	})
}

// Jobs without an organisation, such as those of earlier builds, answer to all.
func TestJobsWithoutOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t)
		const id = sharedID
		assert.Equal(t, c.submitAs(0, id, ""), intake.Accepted)
		c.assertAccess("cartago", true, intake.Accepted)
		found, err := c.nodes[1-c.running()].Cancel(t.Context(), id, "cartago")
		assert.NilError(t, err)
		assert.Assert(t, found)
	})
}

// While the owner of a job's cell can't be reached, the job's row says which organisation it belongs to. A repeated submission to another cell
// is decided by the same row, and has no decision while that can't be read.
func TestOrganisationOfAStoredJob(t *testing.T) {
	for _, organisation := range []string{"kioscos", ""} {
		t.Run(organisation, func(t *testing.T) {
			s := emulator.NewStore()
			n, _ := testNode(t, 2)
			n.store = s
			const id, cell = sharedID, "c1"
			job := &workload.Job{ID: id, Organisation: "cartago"}
			assert.Equal(t, n.decideRepeated(t.Context(), job, cell).Outcome, intake.Unknown, "the row can't be read yet")
			s.Put(store.Key{Table: dispatch.TableIndex, Part: n.indexPart(id), Name: id}, []byte(cell))
			s.Put(store.Key{Table: dispatch.TableJobs, Part: n.cellPart(cell), Name: id}, fmt.Appendf(nil, `{"id":%q,"org":%q}`, id, organisation))
			for _, progress := range []string{"", `{"state":"completed"}`} {
				if progress != "" {
					s.Put(store.Key{Table: dispatch.TableProgress, Part: n.cellPart(cell), Name: id}, []byte(progress))
				}
				for caller, want := range map[string]bool{"kioscos": true, "": true, "cartago": organisation == ""} {
					_, found, err := n.State(t.Context(), id, caller)
					assert.NilError(t, err)
					assert.Equal(t, found, want, caller)
					outcome := intake.Accepted
					if !want {
						outcome = intake.Conflict
					}
					assert.Equal(t, n.decideRepeated(t.Context(), &workload.Job{ID: id, Organisation: caller}, cell).Outcome, outcome)
				}
			}
			s.SetFault(emulator.StoreRefuses)
			assert.Equal(t, n.decideRepeated(t.Context(), job, cell).Outcome, intake.Unknown)
		})
	}
}

// cancelAs cancels a job that does not exist.
func (c *cancelCluster) cancelAs(node int, id, organisation string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), clientDeadline)
	defer cancel()
	found, err := c.nodes[node].Cancel(ctx, id, organisation)
	assert.NilError(c.t, err)
	assert.Assert(c.t, !found)
}

// A cancellation of a job that has not been accepted holds for submissions of the same organisation, and for those of all if the caller has
// none. Otherwise an organisation could keep another one's job from being accepted.
func TestCancellationByAnotherOrganisation(t *testing.T) {
	for name, test := range map[string]struct {
		cancelled []string
		accepted  map[string]bool
	}{
		"another":             {[]string{"b"}, map[string]bool{"a": true, "b": false, "": false}},
		"others":              {[]string{"b", "c", "b"}, map[string]bool{"a": true, "b": false, "c": false}},
		"without and another": {[]string{"", "b"}, map[string]bool{"a": false, "b": false, "": false}},
		"another and without": {[]string{"b", ""}, map[string]bool{"a": false, "b": false, "": false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t)
				next := 0
				for organisation, accepted := range test.accepted {
					for node := range c.nodes {
						id := fmt.Sprintf("%016x", next)
						next++
						for _, by := range test.cancelled {
							c.cancelAs(1-node, id, by)
						}
						want := intake.Refused
						if accepted {
							want = intake.Accepted
						}
						assert.Equal(t, c.submitAs(node, id, organisation), want, "%q", organisation)
						if accepted {
							c.cancelAs(node, id, test.cancelled[0])
							assert.Equal(t, c.submitAs(node, id, test.cancelled[0]), intake.Conflict)
							state, found, err := c.nodes[node].State(t.Context(), id, organisation)
							assert.NilError(t, err)
							assert.Assert(t, found && state != workload.StateCancelled)
							key := store.Key{Table: dispatch.TableCancelled, Part: c.nodes[0].indexPart(id), Name: id}
							assert.Equal(t, c.rows.Row(key).Version, int64(0), "the record is deleted")
						}
					}
				}
			})
		})
	}
}

// A submission without a decision is accepted although another organisation cancels the ID meanwhile, also if the store applies it late.
func TestCancellationByAnotherOrganisationMeanwhile(t *testing.T) {
	for name, fault := range map[string]commitFault{"applied late": commitLate, "applied without response": commitLost} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t)
				c.fault.Store(int32(fault))
				assert.Equal(t, c.submitAs(0, sharedID, "a"), intake.Unknown)
				c.fault.Store(int32(commitWorks))
				c.cancelAs(1, sharedID, "b")
				time.Sleep(2 * lateCommit)
				assert.Equal(t, c.submitAs(1, sharedID, "a"), intake.Accepted)
				c.assertAccess("a", true, intake.Accepted)
				c.assertAccess("b", false, intake.Conflict)
			})
		})
	}
}

// A refusal for lack of capacity or for the organisation's share looks for an accepted job with the ID first. That job may be another
// organisation's; it was reported as accepted.
func TestRefusalsFindJobsOfOtherOrganisations(t *testing.T) {
	s := emulator.NewStore()
	n, _ := testNode(t, 2)
	n.store = s
	const cell = "c1"
	s.Put(store.Key{Table: dispatch.TableIndex, Part: n.indexPart(sharedID), Name: sharedID}, []byte(cell))
	s.Put(store.Key{Table: dispatch.TableJobs, Part: n.cellPart(cell), Name: sharedID}, []byte(`{"id":"`+sharedID+`","org":"kioscos"}`))
	targets := []ownership.Owner{ownerWith("c0", 0)}
	for organisation, want := range map[string]intake.Outcome{"kioscos": intake.Accepted, "cartago": intake.Conflict, "": intake.Accepted} {
		job := &workload.Job{ID: sharedID, Organisation: organisation}
		assert.Equal(t, n.refuseFull(t.Context(), job, targets).Outcome, want, organisation)
		assert.Equal(t, n.refuseExcess(t.Context(), job, targets[0]).Outcome, want, organisation)
	}
}
