package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin takes endpoints in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns the policy "round-robin".
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Choose implements Policy.
func (p *RoundRobin) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	if candidates.Len() == 0 {
		return nil
	}
	turn := p.next.Add(1) - 1
	e, _ := candidates.scan(int(turn%uint64(candidates.Len())), nil, rng)
	return e
}
