package route

import "math/rand/v2"

// LeastInFlight takes the endpoint with the fewest requests of this entry VM in flight. Its cost grows with the number
// of endpoints.
type LeastInFlight struct{}

// NewLeastInFlight returns the policy "least-in-flight".
func NewLeastInFlight() LeastInFlight { return LeastInFlight{} }

// Choose implements Policy. The scan starts at a random endpoint, so that ties go to each in turn.
func (LeastInFlight) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	n := candidates.Len()
	if n == 0 {
		return nil
	}
	start := rng.IntN(n)
	var best *Endpoint
	for i := range n {
		e := candidates.At((start + i) % n)
		if best != nil && e.InFlight() >= best.InFlight() {
			continue
		}
		if ok, _ := candidates.Usable(e, rng); ok {
			best = e
		}
	}
	return best
}
