package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/route"
)

var (
	ok     = route.Result{Outcome: route.OutcomeOK, Latency: 20 * time.Millisecond}
	failed = route.Result{Outcome: route.OutcomeError, Latency: time.Millisecond}
)

// exchange sends a request to an endpoint that ends immediately with result.
func exchange(e *route.Endpoint, now time.Time, result route.Result) {
	e.BeginAt(now)
	e.EndAt(now, result)
}

// shares picks n times at one instant and counts how often each endpoint is chosen.
func shares(t *testing.T, set *route.Set, now time.Time, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		e, err := set.PickAt(now, nil, true)
		assert.NilError(t, err)
		counts[e.ID]++
	}
	return counts
}

// An ejected endpoint must get no requests, and must return gradually: a return at full share would overload an upstream
// that has just recovered.
func TestEjectionAndPacedReturn(t *testing.T) {
	set := newSet(upstreams("caldas-centro", "chipre", 10), route.Config{EjectAfter: 5, EjectTime: 5 * time.Second,
		ReturnRamp: 10 * time.Second})
	bad := set.Endpoints()[0]
	now := epoch
	for range 4 {
		exchange(bad, now, failed)
	}
	exchange(bad, now, ok)
	for range 5 {
		exchange(bad, now, failed)
	}
	assert.Equal(t, shares(t, set, now.Add(4999*time.Millisecond), 1000)[bad.ID], 0)

	now = now.Add(5 * time.Second)
	assert.Assert(t, shares(t, set, now, 100)[bad.ID] > 0, "no trial after the ejection")
	bad.BeginAt(now)
	assert.Equal(t, shares(t, set, now, 1000)[bad.ID], 0, "a second request during the trial")
	bad.EndAt(now, failed)
	assert.Equal(t, shares(t, set, now.Add(9*time.Second), 1000)[bad.ID], 0, "the ejection time did not double")

	now = now.Add(10 * time.Second)
	exchange(bad, now, ok)
	early := shares(t, set, now, 10_000)[bad.ID]
	assert.Assert(t, early > 0 && early < 300, "%d of 10000 choices at the start of the return", early)
	now = now.Add(10 * time.Second)
	exchange(bad, now, ok)
	late := shares(t, set, now, 10_000)[bad.ID]
	assert.Assert(t, late > 700, "%d of 10000 choices after the return", late)
}

// A fault shared by all upstreams, such as a broken table behind them, must eject at most half of them; the rest would be
// overloaded.
func TestAtMostHalfEjected(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 71} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := newSet(upstreams("caldas-centro", "chipre", n), route.Config{})
			for _, e := range set.Endpoints() {
				for range 20 {
					exchange(e, epoch, failed)
				}
			}
			chosen := shares(t, set, epoch.Add(time.Second), 100*n)
			assert.Assert(t, 2*len(chosen) >= n, "only %d of %d endpoints are left", len(chosen), n)
			if n > 1 {
				assert.Assert(t, len(chosen) < n, "none was ejected")
			}
		})
	}
}

// An upstream that reported that it is leaving must get no new requests while the lagging VM list shows it live. It must
// get requests again after the list showed that it is no longer leaving.
func TestLeaving(t *testing.T) {
	vms := upstreams("caldas-centro", "chipre", 3)
	set := newSet(vms, route.Config{LeavingHold: time.Minute})
	leaving := set.Endpoints()[0]
	exchange(leaving, epoch, route.Result{Outcome: route.OutcomeOK, Latency: time.Millisecond, Leaving: true})
	now := epoch.Add(2 * time.Second)
	set.UpdateAt(now, vms)
	assert.Equal(t, shares(t, set, now, 1000)[leaving.ID], 0)

	vms[0].State = infra.VMLeaving
	set.UpdateAt(now, vms)
	assert.Equal(t, shares(t, set, now, 1000)[leaving.ID], 0)
	vms[0].State = infra.VMLive
	set.UpdateAt(now, vms)
	assert.Assert(t, shares(t, set, now, 1000)[leaving.ID] > 0)

	exchange(leaving, now, route.Result{Outcome: route.OutcomeRefused, Leaving: true})
	assert.Equal(t, shares(t, set, now, 1000)[leaving.ID], 0)
	now = now.Add(time.Minute)
	set.UpdateAt(now, vms)
	assert.Assert(t, shares(t, set, now, 1000)[leaving.ID] > 0)
}

// An update of the VM list must keep requests in flight and ejections, except for an upstream whose ID moved to another
// address.
func TestUpdateKeepsState(t *testing.T) {
	vms := upstreams("caldas-centro", "chipre", 4)
	set := newSet(vms, route.Config{})
	bad := set.Endpoints()[0]
	for range 5 {
		exchange(bad, epoch, failed)
	}
	busy := set.Endpoints()[1]
	busy.BeginAt(epoch)
	set.UpdateAt(epoch, append(vms, upstreams("caldas-centro", "la-enea", 2)...))
	assert.Equal(t, len(set.Endpoints()), 6)
	assert.Equal(t, set.Endpoints()[1].InFlight(), 1)
	assert.Equal(t, shares(t, set, epoch, 1000)[bad.ID], 0)

	vms[0].Addr = "127.1.0.99:7000"
	set.UpdateAt(epoch, vms)
	assert.Assert(t, shares(t, set, epoch, 1000)[bad.ID] > 0)
}

// Checks under random histories that no endpoint is chosen that is excluded, leaving or out of connections, and that a
// request gets an endpoint if one is usable.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections, entryVMs = 64, 9
		vms := append(upstreams("caldas-centro", "chipre", 3), upstreams("valle-norte", "cartago", 3)...)
		for i := range vms {
			vms[i].Connections = connections
		}
		policy, err := route.PolicyByName(rapid.SampledFrom(
			[]string{"p2c", "round-robin", "random", "least-in-flight"}).Draw(t, "policy"))
		assert.NilError(t, err)
		set := newSet(vms, route.Config{EntryVMs: entryVMs, Policy: policy})
		now := epoch
		leaving := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				excluded := set.Endpoints()[rapid.IntRange(0, 5).Draw(t, "excluded")]
				cross := rapid.Bool().Draw(t, "cross")
				e, err := set.PickAt(now, []*route.Endpoint{excluded}, cross)
				if err != nil {
					for _, other := range set.Endpoints() {
						usable := other != excluded && !leaving[other.ID] && other.InFlight() < connections/entryVMs &&
							(cross || other.Region == local.Region)
						assert.Assert(t, !usable, "%s was not chosen", other.ID)
					}
					return
				}
				assert.Assert(t, e != excluded && !leaving[e.ID])
				assert.Assert(t, cross || e.Region == local.Region)
				e.BeginAt(now)
				assert.Assert(t, e.InFlight() <= connections/entryVMs)
			},
			"end": func(t *rapid.T) {
				e := set.Endpoints()[rapid.IntRange(0, 5).Draw(t, "endpoint")]
				if e.InFlight() == 0 {
					t.Skip("nothing in flight")
				}
				result := route.Result{Outcome: route.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")),
					Latency: time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond,
					Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
				if rapid.Bool().Draw(t, "reports") {
					result.Load = route.Load{InFlight: rapid.IntRange(0, 8).Draw(t, "in flight"), Slots: 8,
						Queue: rapid.IntRange(0, 60).Draw(t, "queue"), Valid: true}
				}
				e.EndAt(now, result)
				leaving[e.ID] = leaving[e.ID] || result.Leaving
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
