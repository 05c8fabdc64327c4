package requestsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantthread/currantthread/route"
)

// Parameters of ProbePool, as published for Prequal (Wydrowski et al., "Load is not what you should balance", 2024).
const (
	probePoolSize = 16
	probeMaxAge   = time.Second
	probeHot      = 0.84 // quantile of requests in flight above which a runner counts as hot
	probeUses     = 2    // choices for which one probe may be used
)

// ProbePool implements the Prequal policy for comparison. Each request sends asynchronous probes to random runners, whose
// responses carry their requests in flight and latency and enter a small pool. The hot-cold rule chooses from the pool.
type ProbePool struct {
	sim   *Simulation
	entry int
	// perRequest is the number of probes per request, which may be a fraction.
	perRequest  float64
	probeCredit float64
	pool        []probe
	// Probes is the number of probes sent.
	Probes int64
	// dropWorst alternates between removing the worst and the oldest probe.
	dropWorst bool
}

type probe struct {
	endpoint *route.Endpoint
	inFlight int
	latency  time.Duration
	at       time.Duration
	uses     int
}

// NewProbePool returns the policy of one entry VM.
func NewProbePool(sim *Simulation, entry int, perRequest float64) *ProbePool {
	return &ProbePool{sim: sim, entry: entry, perRequest: perRequest}
}

// Choose implements route.Policy.
func (p *ProbePool) Choose(candidates route.Candidates, rng *rand.Rand) *route.Endpoint {
	p.sendProbes(candidates, rng)
	p.pool = slices.DeleteFunc(p.pool, func(x probe) bool { return p.sim.now-x.at > probeMaxAge || x.uses >= probeUses })
	best := p.best(candidates, rng)
	defer p.drop()
	if best < 0 {
		e, _ := candidates.Draw(nil, rng)
		return e
	}
	p.pool[best].inFlight++
	p.pool[best].uses++
	return p.pool[best].endpoint
}

// drop removes one probe per request, alternating between the worst and the oldest.
func (p *ProbePool) drop() {
	if len(p.pool) < 2 {
		return
	}
	p.dropWorst = !p.dropWorst
	victim := 0
	if p.dropWorst {
		hot := p.hot()
		for i, x := range p.pool {
			if better(p.pool[victim], x, hot) {
				victim = i
			}
		}
	}
	p.pool = slices.Delete(p.pool, victim, victim+1)
}

// hot returns the number of requests in flight above which a runner counts as hot.
func (p *ProbePool) hot() int {
	if len(p.pool) == 0 {
		return 0
	}
	loads := make([]int, len(p.pool))
	for i, x := range p.pool {
		loads[i] = x.inFlight
	}
	slices.Sort(loads)
	return loads[int(probeHot*float64(len(loads)-1))]
}

// best returns the index of the probe that the hot-cold rule chooses, or -1.
func (p *ProbePool) best(candidates route.Candidates, rng *rand.Rand) int {
	hot := p.hot()
	best := -1
	for i, x := range p.pool {
		if ok, _ := candidates.Usable(x.endpoint, rng); !ok {
			continue
		}
		if best < 0 || better(x, p.pool[best], hot) {
			best = i
		}
	}
	return best
}

// better reports whether a is preferred to b. Cold probes precede hot ones; cold probes are ordered by latency, hot ones by
// requests in flight.
func better(a, b probe, hot int) bool {
	aHot, bHot := a.inFlight > hot, b.inFlight > hot
	switch {
	case aHot != bHot:
		return bHot
	case aHot:
		return a.inFlight < b.inFlight
	default:
		return a.latency < b.latency
	}
}

func (p *ProbePool) sendProbes(candidates route.Candidates, rng *rand.Rand) {
	p.probeCredit += p.perRequest
	for ; p.probeCredit >= 1; p.probeCredit-- {
		e, _ := candidates.Draw(nil, rng)
		if e != nil {
			p.send(e)
		}
	}
}

func (p *ProbePool) send(e *route.Endpoint) {
	sim := p.sim
	p.Probes++
	r := sim.byID[e.ID]
	delay := sim.Delay(sim.Entries[p.entry], r)
	sim.After(delay, func() {
		if r.Mode == ModeDead || r.Mode == ModeSilent {
			return
		}
		answer := probe{endpoint: e, inFlight: r.running + len(r.queue), latency: r.latencyAt(sim.now, r.running+len(r.queue))}
		sim.After(delay, func() { p.receive(answer) })
	})
}

func (p *ProbePool) receive(x probe) {
	x.at = p.sim.now
	p.pool = slices.DeleteFunc(p.pool, func(old probe) bool { return old.endpoint == x.endpoint })
	if len(p.pool) >= probePoolSize {
		p.pool = slices.Delete(p.pool, 0, 1)
	}
	p.pool = append(p.pool, x)
}
