package dispatch_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
)

// witnessMode is what a witness responds.
type witnessMode int32

const (
	// witnessDenies confirms no outage.
	witnessDenies witnessMode = iota
	// witnessConfirms confirms an outage to the owner with the highest epoch that it knows of.
	witnessConfirms
	// witnessSilent does not respond.
	witnessSilent
)

// witness keeps the promises of a witness of one cell.
type witness struct {
	dispatch.Witness
	mode atomic.Int32

	mu          sync.Mutex // guards the fields below
	lowest      int64
	confirmedAt time.Time
}

func newWitness(mode witnessMode) *witness {
	w := &witness{Witness: dispatch.Witness{Node: "w", Addr: "w", Incarnation: "w1"}}
	w.mode.Store(int32(mode))
	return w
}

// confirm implements dispatch.Config.ConfirmOutage.
func (w *witness) confirm(_ context.Context, _ dispatch.Witness, epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if witnessMode(w.mode.Load()) != witnessConfirms || epoch < w.lowest {
		return false
	}
	w.lowest, w.confirmedAt = epoch, time.Now()
	return true
}

// deny reports whether the witness has confirmed no outage and will confirm none to owners with lower epochs.
func (w *witness) deny(epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if witnessMode(w.mode.Load()) == witnessSilent {
		return false
	}
	w.lowest = max(w.lowest, epoch)
	return w.confirmedAt.IsZero() || time.Since(w.confirmedAt) >= dispatch.ConfirmationMemory
}

// goneTogether lets the owner of a cell and a runner with long-running tasks be gone together, and returns for how long after the last
// write of the owner its successor has had the tasks wait. change, if set, changes the ownership row before the takeover.
func goneTogether(t *testing.T, w *witness, change func(*dispatch.Ownership)) time.Duration {
	t.Helper()
	cl := newCluster(t, 3, fixedDuration(time.Hour))
	cl.witness = w
	go cl.watchOwner()
	first, kill := cl.startOwnerOf(cl.config("a", true))
	time.Sleep(100 * time.Millisecond)
	cl.submit(first, jobOf(1, longRunning(6, 8000)))
	time.Sleep(5 * time.Second)
	lost := cl.fleet.Running("r1")
	assert.Assert(t, lost > 0)
	end := time.Now()
	cl.fleet.Crash("r1")
	cl.killOwner(first, kill)
	if change != nil {
		previous, _, err := dispatch.ReadOwner(t.Context(), cl.store, cellName)
		assert.NilError(t, err)
		change(&previous)
		value, err := json.Marshal(previous)
		assert.NilError(t, err)
		cl.store.Put(dispatch.OwnerKey(cellName), value)
		end = time.Now()
	}
	time.Sleep(2500 * time.Millisecond)
	next, stop := cl.startOwnerOf(cl.config("b", false))
	for cl.running() < 6 && time.Since(end) < 20*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(end)
	assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 6)
	cl.assertNoOverlap()
	stop()
	<-next.Done()
	return waited
}

// The long-running tasks of a runner that was gone together with the owner of its cell started again 11 s later, because leases might
// have been extended as in an outage of the store.
func TestTasksOfRunnerGoneWithOwnerStartAfterOneLease(t *testing.T) {
	// watchOwner reads the row every 400 ms.
	const slack = time.Second
	synctest.Test(t, func(t *testing.T) {
		waited := goneTogether(t, newWitness(witnessDenies), nil)
		assert.Assert(t, waited <= leaseBound+slack, "tasks started %v after the last write", waited)
	})
}

// Without the promise of the witness, or if the row of the owner states no cap, leases may last for as long as without witnesses.
func TestTakeoverWithoutPromiseAwaitsLongLeases(t *testing.T) {
	cases := map[string]struct {
		mode      witnessMode
		confirmed bool
		change    func(*dispatch.Ownership)
	}{
		"silent witness":       {mode: witnessSilent},
		"confirmed before":     {mode: witnessDenies, confirmed: true},
		"row of earlier build": {change: func(o *dispatch.Ownership) { o.LeaseCapMs, o.Witnesses = 0, nil }},
		"negative cap":         {change: func(o *dispatch.Ownership) { o.LeaseCapMs = -6000 }},
		"no witness":           {change: func(o *dispatch.Ownership) { o.Witnesses = nil }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWitness(c.mode)
				if c.confirmed {
					w.confirmedAt = time.Now().Add(5 * time.Second)
				}
				waited := goneTogether(t, w, c.change)
				assert.Assert(t, waited >= outageBound-time.Second, "tasks started %v after the last write", waited)
			})
		})
	}
}

// MarkOutageDenied must not shorten the wait for owners before the previous one.
func TestDenialDoesNotCoverEarlierOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inherited := func(o *dispatch.Ownership) { o.InheritedLeaseMs = (9 * time.Second).Milliseconds() }
		waited := goneTogether(t, newWitness(witnessDenies), inherited)
		assert.Assert(t, waited >= 11*time.Second, "tasks started %v after the last write", waited)
	})
}

// In a general outage of the store an owner extends leases beyond the cap once a witness has confirmed it, and the tasks go on.
func TestConfirmedOutageEndsNoTask(t *testing.T) {
	cases := map[string]struct {
		fault  emulator.StoreFault
		outage time.Duration
	}{"silent": {emulator.StoreSilent, 6500 * time.Millisecond}, "refuses": {emulator.StoreRefuses, 7500 * time.Millisecond}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2, fixedDuration(time.Hour))
				cl.witness = newWitness(witnessConfirms)
				c, stop := cl.startOwnerOf(cl.config("a", true))
				time.Sleep(100 * time.Millisecond)
				cl.submit(c, jobOf(1, longRunning(4, 8000)))
				time.Sleep(2 * time.Second)
				for i := range 5 {
					// The outages begin at different times after a commit.
					time.Sleep(time.Duration(i) * 137 * time.Millisecond)
					cl.store.SetFault(test.fault)
					time.Sleep(test.outage)
					cl.store.SetFault(emulator.StoreWorks)
					time.Sleep(settleTime)
				}
				assert.Equal(t, cl.running(), 4)
				assert.Equal(t, len(cl.fleet.Starts()), 4, "tasks ended and started again")
				stop()
				<-c.Done()
			})
		})
	}
}

// A confirmation that arrives shortly before leases would end at the cap came too late for runners whose polls were in flight.
func TestLateConfirmationEndsNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 8, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessDenies)
		c, stop := cl.startOwnerOf(cl.config("a", true))
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, longRunning(16, 8000)))
		time.Sleep(2 * time.Second)
		for i := range 5 {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			cl.store.SetFault(emulator.StoreSilent)
			time.Sleep(3800 * time.Millisecond)
			cl.witness.mode.Store(int32(witnessConfirms))
			time.Sleep(2700 * time.Millisecond)
			cl.store.SetFault(emulator.StoreWorks)
			cl.witness.mode.Store(int32(witnessDenies))
			time.Sleep(settleTime)
		}
		assert.Equal(t, len(cl.fleet.Starts()), 16, "tasks ended and started again")
		stop()
		<-c.Done()
	})
}

// An owner that no witness confirms an outage to grants no lease beyond the cap, and goes on after the next commit.
func TestUnconfirmedOutageEndsLeasesAtTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessDenies)
		c, stop := cl.startOwnerOf(cl.config("a", true))
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, longRunning(2, 40000)))
		time.Sleep(2 * time.Second)
		// A confirmation holds for one outage only.
		cl.witness.mode.Store(int32(witnessConfirms))
		cl.store.SetFault(emulator.StoreSilent)
		time.Sleep(6500 * time.Millisecond)
		cl.store.SetFault(emulator.StoreWorks)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(cl.fleet.Starts()), 2)
		cl.witness.mode.Store(int32(witnessDenies))
		cl.store.SetFault(emulator.StoreSilent)
		silent := time.Now()
		time.Sleep(5900 * time.Millisecond)
		for _, id := range []string{"r0", "r1"} {
			assert.Assert(t, cl.fleet.LeaseEnd(id).Sub(silent) <= lease, "lease of %s ends %v after the last write", id, cl.fleet.LeaseEnd(id).Sub(silent))
		}
		outcome := make(chan dispatch.Outcome, 1)
		starts := len(cl.fleet.Starts())
		go func() {
			o, _ := c.Submit(t.Context(), jobOf(2, tasks(1, 4000)), true)
			outcome <- o
		}()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(cl.fleet.Starts()), starts)
		cl.store.SetFault(emulator.StoreWorks)
		time.Sleep(settleTime)
		assert.Equal(t, cl.running(), 2)
		<-outcome
		stop()
		<-c.Done()
	})
}

// Slow commits are no outage: no lease may lapse, although no witness confirms one.
func TestSlowStoreEndsNoLease(t *testing.T) {
	for _, txnTime := range []time.Duration{time.Second, 1200 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(txnTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2, fixedDuration(time.Hour))
				cl.witness = newWitness(witnessDenies)
				c, stop := cl.startOwnerOf(cl.config("a", true))
				time.Sleep(100 * time.Millisecond)
				cl.submit(c, jobOf(1, longRunning(4, 8000)))
				time.Sleep(2 * time.Second)
				cl.store.SetTxnTime(txnTime)
				time.Sleep(30 * time.Second)
				cl.store.SetTxnTime(0)
				assert.Equal(t, cl.running(), 4)
				assert.Equal(t, len(cl.fleet.Starts()), 4, "tasks ended and started again")
				stop()
				<-c.Done()
			})
		})
	}
}

// An owner that is cut off from the store and its witness, and that alone reaches a runner, grants leases there that end before its
// successor starts the tasks again.
func TestOwnerWithoutWitnessEndsLeasesBeforeItsSuccessorStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessDenies)
		go cl.watchOwner()
		a := &link{Fleet: cl.fleet, Store: cl.store}
		rest := &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.submit(first, jobOf(1, longRunning(3, 8000), tasks(2, 4000)))
		cl.submit(first, jobOf(2, tasks(2, 4000)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running("r0"), 5)
		cl.addRunner("r1")
		first.SetRunner(t.Context(), cl.infos[1], true)
		time.Sleep(time.Second)
		a.cutStore.Store(true)
		cut := time.Now()
		a.cut.Store("r1", true)
		rest.cut.Store("r0", true)
		time.Sleep(2500 * time.Millisecond)
		next, stop := cl.startOwnerWith("b", false, rest, rest)
		time.Sleep(leaseBound + time.Second - time.Since(cut))
		assert.Equal(t, cl.fleet.Running("r1"), 5)
		time.Sleep(outageBound)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}

// A witness that was asked by an owner must be in the row that a successor reads, also while the witnesses change and rows are written
// without the owner's knowledge. Otherwise the successor would not ask it.
func TestOwnerAsksOnlyWitnessesInItsRow(t *testing.T) {
	for name, fault := range map[string]emulator.StoreFault{"responses lost": emulator.StoreLosesResponses, "silent": emulator.StoreSilent,
		"applied late": emulator.StoreAppliesLate, "refuses": emulator.StoreRefuses} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1, fixedDuration(time.Hour))
				all := []dispatch.Witness{{Node: "w0", Addr: "w0", Incarnation: "1"}, {Node: "w1", Addr: "w1", Incarnation: "1"}, {Node: "w2", Addr: "w2", Incarnation: "1"}}
				var mu sync.Mutex // guards the variables below
				asked := map[dispatch.Witness]bool{}
				requests := 0
				// missing returns the witnesses that were asked and are not in the row as it is stored, whatever the store responds.
				missing := func() (missing []string) {
					mu.Lock()
					defer mu.Unlock()
					var owner dispatch.Ownership
					assert.Check(t, json.Unmarshal(cl.store.Row(dispatch.OwnerKey(cellName)).Value, &owner))
					for w := range asked {
						if !slices.Contains(owner.Witnesses, w) {
							missing = append(missing, w.Node)
						}
					}
					return missing
				}
				cfg := cl.config("a", true)
				cfg.Witnesses = all[:2]
				cfg.ConfirmOutage = func(_ context.Context, w dispatch.Witness, _ int64) bool {
					mu.Lock()
					requests++
					asked[w] = true
					mu.Unlock()
					assert.Check(t, len(missing()) == 0, "%v", missing())
					return false
				}
				c, stop := cl.startOwnerOf(cfg)
				time.Sleep(2 * time.Second)
				for i := range 6 {
					c.SetWitnesses(all[i%2 : i%2+2])
					if i >= 3 {
						time.Sleep(2 * time.Second)
					}
					cl.store.SetFault(fault)
					// The witnesses change while a commit is in flight, or after they were asked.
					if i >= 3 {
						time.Sleep(3500 * time.Millisecond)
					}
					c.SetWitnesses(all[2-i%2:])
					time.Sleep(time.Second)
					cl.store.SetFault(emulator.StoreLosesResponses)
					time.Sleep(2 * time.Second)
					assert.Check(t, len(missing()) == 0, "%v", missing())
					cl.store.SetFault(emulator.StoreWorks)
					time.Sleep(5 * time.Second)
					mu.Lock()
					clear(asked)
					mu.Unlock()
				}
				assert.Assert(t, requests > 0)
				stop()
				<-c.Done()
			})
		})
	}
}

// Whatever the owners and the witness reach, and whether or not the witness confirms outages, no task runs in two places.
func TestCutsBesideAWitnessRunNoTaskTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const maxOwners, runners, steps = 3, 3, 6
		var plan []cutStep
		for range steps {
			step := drawCutStep(rt, maxOwners, runners)
			step.witness = witnessMode(rapid.IntRange(int(witnessDenies), int(witnessSilent)).Draw(rt, "witness"))
			plan = append(plan, step)
		}
		synctest.Test(t, func(t *testing.T) {
			if broken := playCuts(t, plan, maxOwners, runners, newWitness(witnessDenies)); broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}
