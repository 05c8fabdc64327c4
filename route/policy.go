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
	turn      *atomic.Uint64 // of the locality, for policies that take endpoints in turn
}

// Len returns the number of endpoints, usable or not.
func (c Candidates) Len() int { return len(c.endpoints) }

// At returns the endpoint with index i.
func (c Candidates) At(i int) *Endpoint { return c.endpoints[i] }

// Cost returns the estimated cost of a request to e; lower is better.
func (c Candidates) Cost(e *Endpoint) float64 { return e.cost(c.at) }

// Load returns the estimated requests of all entry VMs at e.
func (c Candidates) Load(e *Endpoint) float64 { return e.load(c.at) }

// Slowdown returns how many times slower than usual e is, at least 1.
func (c Candidates) Slowdown(e *Endpoint) float64 { return e.slowdown(c.at) }

// Usable reports whether e may be chosen, and whether it is on trial after an ejection. A policy that draws an endpoint
// on trial chooses it, because nothing else shows that the endpoint works again.
func (c Candidates) Usable(e *Endpoint, rng *rand.Rand) (ok, trial bool) {
	if contains(c.exclude, e) || e.full() {
		return false, false
	}
	return e.health.usable(e, c.at, rng)
}

// maxDraws bounds random draws before a scan. At most half of the endpoints are ejected, so a scan is rare.
const maxDraws = 8

// Draw returns a random usable endpoint other than not, or nil.
func (c Candidates) Draw(not *Endpoint, rng *rand.Rand) (e *Endpoint, trial bool) {
	n := len(c.endpoints)
	if n == 0 {
		return nil, false
	}
	for range maxDraws {
		e := c.endpoints[rng.IntN(n)]
		if e == not {
			continue
		}
		if ok, trial := c.Usable(e, rng); ok {
			return e, trial
		}
	}
	return c.scan(rng.IntN(n), not, rng)
}

// scan returns the first usable endpoint from index start on, other than not, or nil.
func (c Candidates) scan(start int, not *Endpoint, rng *rand.Rand) (e *Endpoint, trial bool) {
	n := len(c.endpoints)
	for i := range n {
		e := c.endpoints[(start+i)%n]
		if e == not {
			continue
		}
		if ok, trial := c.Usable(e, rng); ok {
			return e, trial
		}
	}
	return nil, false
}

// PolicyByName returns a new policy by its name in the settings.
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
