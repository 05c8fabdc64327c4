package route

import "math/rand/v2"

// LeastInFlight chooses the endpoint with the fewest requests of this entry VM in flight. Its running time is linear in
// the number of endpoints.
type LeastInFlight struct{}

// NewLeastInFlight returns the policy "least-in-flight".
func NewLeastInFlight() LeastInFlight { return LeastInFlight{} }

// Choose implements Policy. The scan starts at a random endpoint, so that ties are broken at random.
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
