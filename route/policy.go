package route

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// Policy chooses an endpoint among candidates of one locality. It returns nil if none is usable. Implementations are
// safe for concurrent use and do not allocate.
type Policy interface {
	Choose(candidates Candidates, rng *rand.Rand) *Endpoint
}

// Candidates are the endpoints of one locality at one instant.
type Candidates struct {
	endpoints []*Endpoint
	exclude   []*Endpoint
	at        int64
	next      *atomic.Uint64 // counter of the locality, for round-robin policies
}

// Len returns the number of endpoints, usable or not.
func (c Candidates) Len() int { return len(c.endpoints) }

// At returns the endpoint with index i.
func (c Candidates) At(i int) *Endpoint { return c.endpoints[i] }

// Cost returns the estimated cost of a request to e; lower is better.
func (c Candidates) Cost(e *Endpoint) float64 { return e.cost(c.at) }

// Load returns the estimated number of requests of all entry VMs at e.
func (c Candidates) Load(e *Endpoint) float64 { return e.load(c.at) }

// Slowdown returns the ratio of the latency of e to the usual latency, at least 1.
func (c Candidates) Slowdown(e *Endpoint) float64 { return e.slowdown(c.at) }

// Usable reports whether e may be chosen, and whether it is on trial after an ejection. A policy that draws an endpoint
// on trial must choose it, because only a request can show that the endpoint works again.
func (c Candidates) Usable(e *Endpoint, rng *rand.Rand) (ok, trial bool) {
	if contains(c.exclude, e) || e.full() {
		return false, false
	}
	return e.health.usable(e, c.at, rng)
}

// maxDraws bounds the random draws before a scan. A scan is rare because at most half of the endpoints are ejected.
const maxDraws = 8

// Draw returns a random usable endpoint other than excluded, or nil.
func (c Candidates) Draw(excluded *Endpoint, rng *rand.Rand) (e *Endpoint, trial bool) {
	n := len(c.endpoints)
	if n == 0 {
		return nil, false
	}
	for range maxDraws {
		e := c.endpoints[rng.IntN(n)]
		if e == excluded {
			continue
		}
		if ok, trial := c.Usable(e, rng); ok {
			return e, trial
		}
	}
	return c.scan(rng.IntN(n), excluded, rng)
}

// scan returns the first usable endpoint from index start on, other than excluded, or nil.
func (c Candidates) scan(start int, excluded *Endpoint, rng *rand.Rand) (e *Endpoint, trial bool) {
	n := len(c.endpoints)
	for i := range n {
		e := c.endpoints[(start+i)%n]
		if e == excluded {
			continue
		}
		if ok, trial := c.Usable(e, rng); ok {
			return e, trial
		}
	}
	return nil, false
}

// PolicyByName returns a new policy with the given name in the settings.
func PolicyByName(name string) (Policy, error) {
	switch name {
	case "p2c":
		return NewTwoChoices(), nil
	case "round-robin":
		return NewRoundRobin(), nil
	case "random":
		return NewRandom(), nil
	case "least-in-flight":
		return NewLeastInFlight(), nil
	default:
		return nil, fmt.Errorf("policy %q is none of p2c, round-robin, random, least-in-flight", name)
	}
}
