package route_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/route"
)

// warm gives every endpoint the same usual latency and load.
func warm(set *route.Set, now time.Time) {
	for _, e := range set.Endpoints() {
		result := ok
		result.Load = route.Load{InFlight: 4, Slots: 8, Valid: true}
		exchange(e, now, result)
	}
}

// An endpoint that reports load from another entry VM must get no requests until the report is stale, and its usual share
// after that.
func TestReportedLoadCountsUntilStale(t *testing.T) {
	set := newSet(upstreams("caldas-centro", "chipre", 2), route.Config{})
	warm(set, epoch)
	loaded := set.Endpoints()[0]
	result := ok
	result.Load = route.Load{InFlight: 7, Slots: 8, Valid: true}
	exchange(loaded, epoch, result)
	assert.Equal(t, shares(t, set, epoch.Add(300*time.Millisecond), 1000)[loaded.ID], 0)
	for _, age := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		stale := shares(t, set, epoch.Add(age), 1000)[loaded.ID]
		assert.Assert(t, stale > 400 && stale < 600, "%d of 1000 choices after %v", stale, age)
	}
}

// The requests that this entry VM sent since the last report must count; otherwise one idle report would attract every
// request until the next report.
func TestLocalRequestsCorrectReport(t *testing.T) {
	set := newSet(upstreams("caldas-centro", "chipre", 2), route.Config{})
	warm(set, epoch)
	idle := set.Endpoints()[0]
	result := ok
	result.Load = route.Load{Slots: 8, Valid: true}
	exchange(idle, epoch, result)
	assert.Equal(t, shares(t, set, epoch, 1000)[idle.ID], 1000)
	for range 5 {
		idle.BeginAt(epoch)
	}
	assert.Equal(t, shares(t, set, epoch, 1000)[idle.ID], 0)
}

// A slow, failing, silent, refusing or overcommitted endpoint must not attract requests because it has few in flight. The
// failing one stays below the limit of ejection; the overcommitted one processes fewer requests than it states.
func TestBadEndpointLoses(t *testing.T) {
	cases := []struct {
		name string
		bad  func(e *route.Endpoint)
		at   time.Duration
	}{
		{"slow", func(e *route.Endpoint) {
			for range 3 {
				exchange(e, epoch, route.Result{Outcome: route.OutcomeOK, Latency: 400 * time.Millisecond})
			}
		}, 0},
		{"fast-failing", func(e *route.Endpoint) {
			for range 20 {
				exchange(e, epoch, failed)
				exchange(e, epoch, failed)
				exchange(e, epoch, route.Result{Outcome: route.OutcomeOK, Latency: time.Millisecond})
			}
		}, 0},
		{"silent", func(e *route.Endpoint) {
			result := ok
			result.Load = route.Load{Slots: 8, Valid: true}
			exchange(e, epoch, result)
			e.BeginAt(epoch)
		}, 200 * time.Millisecond},
		{"callers gave up", func(e *route.Endpoint) {
			for range 3 {
				exchange(e, epoch, route.Result{Outcome: route.OutcomeCancelled, Latency: time.Second})
			}
		}, 0},
		{"refuses as busy", func(e *route.Endpoint) {
			exchange(e, epoch, route.Result{Outcome: route.OutcomeRefused, Latency: time.Millisecond})
		}, 0},
		{"half the slots", func(e *route.Endpoint) {
			result := ok
			result.Load = route.Load{InFlight: 2, Slots: 8, Queue: 1, Valid: true}
			exchange(e, epoch, result)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := newSet(upstreams("caldas-centro", "chipre", 2), route.Config{})
			warm(set, epoch)
			bad := set.Endpoints()[0]
			c.bad(bad)
			assert.Equal(t, shares(t, set, epoch.Add(c.at), 1000)[bad.ID], 0)
		})
	}
}

// An endpoint that was slow once must get requests again.
func TestSlowEndpointGetsTrial(t *testing.T) {
	set := newSet(upstreams("caldas-centro", "chipre", 2), route.Config{})
	warm(set, epoch)
	slow := set.Endpoints()[0]
	exchange(slow, epoch, route.Result{Outcome: route.OutcomeOK, Latency: 400 * time.Millisecond})
	assert.Equal(t, shares(t, set, epoch, 1000)[slow.ID], 0)
	assert.Assert(t, shares(t, set, epoch.Add(2*time.Minute), 1000)[slow.ID] > 0)
}

// Requests must not queue in the local failure domain while another one is idle. They must not spill over to another
// region without permission, or to avoid a wait that is shorter than the extra round trip.
func TestSpillOver(t *testing.T) {
	near := upstreams("caldas-centro", "chipre", 2)
	region := upstreams("caldas-centro", "la-enea", 2)
	far := upstreams("valle-norte", "cartago", 2)
	load := func(set *route.Set, domain string, queue int) {
		for _, e := range set.Endpoints() {
			if e.Domain == domain {
				result := ok
				result.Load = route.Load{InFlight: 8, Slots: 8, Queue: queue, Valid: true}
				exchange(e, epoch, result)
			}
		}
	}
	pickDomain := func(set *route.Set, cross bool) string {
		e, err := set.PickAt(epoch, nil, cross)
		assert.NilError(t, err)
		return e.Domain
	}
	set := newSet(append(append(append([]infra.VM{}, near...), region...), far...), route.Config{})
	warm(set, epoch)
	load(set, "chipre", 8)
	assert.Equal(t, pickDomain(set, true), "la-enea")
	load(set, "la-enea", 8)
	assert.Equal(t, pickDomain(set, true), "chipre") // 20 ms of wait against 40 ms of round trip
	load(set, "chipre", 40)
	load(set, "la-enea", 40)
	assert.Equal(t, pickDomain(set, true), "cartago")
	assert.Assert(t, pickDomain(set, false) != "cartago")
}

// Pick must not allocate, and must be free of data races while the VM list changes and endpoints are leaving.
func TestPickIsConcurrentWithoutAllocation(t *testing.T) {
	vms := upstreams("caldas-centro", "chipre", 20)
	set := route.NewSet(local, route.Config{EntryVMs: 9})
	set.Update(vms)
	allocations := testing.AllocsPerRun(1000, func() {
		e, err := set.Pick(nil, true)
		if err != nil {
			t.Error(err)
			return
		}
		e.Begin()
		e.End(ok)
	})
	assert.Equal(t, allocations, 0.0)

	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				e, err := set.Pick(nil, true)
				if err != nil {
					t.Error(err)
					return
				}
				e.Begin()
				result := ok
				if i%7 == 0 {
					result = failed
				}
				result.Leaving = worker == 0 && i%100 == 99
				e.End(result)
			}
		})
	}
	for range 50 {
		set.Update(vms)
	}
	group.Wait()
	for _, e := range set.Endpoints() {
		assert.Equal(t, e.InFlight(), 0)
	}
}
