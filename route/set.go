package route

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// ErrNoEndpoint means that no endpoint can be chosen for the request.
var ErrNoEndpoint = errors.New("no endpoint may take the request")

// The tiers order endpoints by distance.
const (
	tierDomain = iota // the local failure domain
	tierRegion        // other failure domains of the local region
	tierOther         // other regions
	tierCount
)

// meanWeight is the weight of a sample in the averages over a tier.
const meanWeight = 1.0 / 64

// tierStats holds averages over the endpoints of a tier.
type tierStats struct {
	latency average // of successful requests, nanoseconds
	others  average // requests of other entry VMs at an endpoint, from its reports
	next    atomic.Uint64
}

// recordLatency adds a sample to the usual latency. It bounds the sample, so that a single slow endpoint hardly changes
// the average.
func (t *tierStats) recordLatency(sample float64) {
	if usual := t.latency.value(); usual > 0 {
		sample = min(sample, maxSampleRatio*usual)
	}
	t.latency.add(sample, meanWeight)
}

// maxSampleRatio bounds a latency sample of a tier as a multiple of the usual latency.
const maxSampleRatio = 4

// snapshot is immutable.
type snapshot struct {
	// tiers holds the endpoints that are not leaving.
	tiers [tierCount][]*Endpoint
	all   []*Endpoint
}

// Set holds the endpoints of one service from the perspective of one entry VM. It is safe for concurrent use.
type Set struct {
	local    Locality
	base     time.Time
	rng      *rand.Rand
	config   atomic.Pointer[Config]
	snapshot atomic.Pointer[snapshot]
	tiers    [tierCount]tierStats

	mu sync.Mutex // guards changes of snapshot and of ejection states
}

// NewSet returns a set without endpoints.
func NewSet(local Locality, cfg Config) *Set { return NewSetAt(time.Now(), local, cfg) }

// NewSetAt is NewSet at a given instant, for simulations.
func NewSetAt(now time.Time, local Locality, cfg Config) *Set {
	s := &Set{local: local, base: now, rng: newSharedRand(cfg.Seed)}
	s.Configure(cfg)
	s.snapshot.Store(&snapshot{})
	return s
}

// Configure applies cfg, except for its seed.
func (s *Set) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	s.config.Store(&cfg)
}

// since returns the nanoseconds from the creation of the set to now, at least 1 so that 0 can mean "never".
func (s *Set) since(now time.Time) int64 { return max(int64(now.Sub(s.base)), 0) + 1 }

// Update replaces the endpoints by those of vms and keeps the state of endpoints that stay. VMs of other roles are
// ignored; the caller passes the VMs of one service.
func (s *Set) Update(vms []infra.VM) { s.UpdateAt(time.Now(), vms) }

// UpdateAt is Update at a given instant, for simulations.
func (s *Set) UpdateAt(now time.Time, vms []infra.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	known := make(map[string]*Endpoint)
	for _, e := range s.snapshot.Load().all {
		known[e.ID] = e
	}
	all := make([]*Endpoint, 0, len(vms))
	for _, vm := range vms {
		if vm.Role != infra.RoleUpstream {
			continue
		}
		e := known[vm.ID]
		if e == nil || e.changed(vm) {
			e = newEndpoint(s, vm)
		}
		s.setListed(e, vm.State == infra.VMLeaving, at)
		all = append(all, e)
	}
	s.publish(all)
}

// changed reports whether vm is another upstream under the same ID.
func (e *Endpoint) changed(vm infra.VM) bool {
	return e.Addr != vm.Addr || e.Region != vm.Region || e.Domain != vm.Domain || e.Service != vm.Service ||
		(vm.Slots > 0 && vm.Slots != e.Slots) || e.Connections != vm.Connections
}

// publish stores a new snapshot; the caller holds the lock.
func (s *Set) publish(all []*Endpoint) {
	next := &snapshot{all: all}
	for _, e := range all {
		if !e.Leaving() {
			tier := s.tierOf(e)
			next.tiers[tier] = append(next.tiers[tier], e)
		}
	}
	s.snapshot.Store(next)
}

func (s *Set) tierOf(e *Endpoint) int {
	switch {
	case e.Region != s.local.Region:
		return tierOther
	case e.Domain != s.local.Domain:
		return tierRegion
	default:
		return tierDomain
	}
}

// Endpoints returns all endpoints, leaving ones included. The slice must not be changed.
func (s *Set) Endpoints() []*Endpoint { return s.snapshot.Load().all }

// Slots returns the sum of the slots of the endpoints that are not leaving, in the local region or, if crossRegion is set,
// in all regions. An admission limit far above an entry VM's share of this sum moves the queue to the upstreams, which
// don't distinguish classes.
func (s *Set) Slots(crossRegion bool) int {
	slots := 0
	for tier, endpoints := range s.snapshot.Load().tiers {
		if tier == tierOther && !crossRegion {
			continue
		}
		for _, e := range endpoints {
			slots += int(e.effectiveSlots.Load())
		}
	}
	return slots
}

// Pick returns the endpoint for a request. It prefers the local failure domain, then the local region, then, if
// crossRegion is set, other regions. It never returns an endpoint in exclude. The only error is ErrNoEndpoint. The caller
// must call Begin on the endpoint if it sends the request.
func (s *Set) Pick(exclude []*Endpoint, crossRegion bool) (*Endpoint, error) {
	return s.pick(max(int64(time.Since(s.base)), 0)+1, exclude, crossRegion)
}

// PickAt is Pick at a given instant, for simulations.
func (s *Set) PickAt(now time.Time, exclude []*Endpoint, crossRegion bool) (*Endpoint, error) {
	return s.pick(s.since(now), exclude, crossRegion)
}

func (s *Set) pick(at int64, exclude []*Endpoint, crossRegion bool) (*Endpoint, error) {
	config := s.config.Load()
	current := s.snapshot.Load()
	var best *Endpoint
	var bestDelay time.Duration
	for tier, endpoints := range current.tiers {
		if len(endpoints) == 0 || (tier == tierOther && !crossRegion) {
			continue
		}
		extraRoundTrip := config.extraRoundTrip(tier)
		if best != nil && bestDelay <= extraRoundTrip {
			break
		}
		e := config.Policy.Choose(Candidates{endpoints, exclude, at, &s.tiers[tier].next}, s.rng)
		if e == nil {
			continue
		}
		if delay := e.delay(at) + extraRoundTrip; best == nil || delay < bestDelay {
			best, bestDelay = e, delay
		}
	}
	if best == nil {
		best = current.lastResort(exclude, crossRegion)
	}
	if best == nil {
		return nil, ErrNoEndpoint
	}
	return best, nil
}

func (c *Config) extraRoundTrip(tier int) time.Duration {
	switch tier {
	case tierRegion:
		return c.SpillDomain
	case tierOther:
		return c.SpillRegion
	default:
		return 0
	}
}

// lastResort returns the nearest endpoint that is not leaving, excluded or full, even if it is ejected.
func (c *snapshot) lastResort(exclude []*Endpoint, crossRegion bool) *Endpoint {
	for tier, endpoints := range c.tiers {
		if tier == tierOther && !crossRegion {
			continue
		}
		for _, e := range endpoints {
			if !contains(exclude, e) && !e.full() {
				return e
			}
		}
	}
	return nil
}

func contains(list []*Endpoint, e *Endpoint) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}
