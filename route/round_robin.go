package route

import "math/rand/v2"

// RoundRobin chooses endpoints in turn. Each locality has a separate counter.
type RoundRobin struct{}

// NewRoundRobin returns the policy "round-robin".
func NewRoundRobin() RoundRobin { return RoundRobin{} }

// Choose implements Policy.
func (RoundRobin) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	if candidates.Len() == 0 {
		return nil
	}
	turn := candidates.next.Add(1) - 1
	e, _ := candidates.scan(int(turn%uint64(candidates.Len())), nil, rng)
	return e
}
