package route

import "math/rand/v2"

// Random takes any endpoint.
type Random struct{}

// NewRandom returns the policy "random".
func NewRandom() Random { return Random{} }

// Choose implements Policy.
func (Random) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	e, _ := candidates.Draw(nil, rng)
	return e
}
