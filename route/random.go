package route

import "math/rand/v2"

// Random chooses a random endpoint.
type Random struct{}

// NewRandom returns the policy "random".
func NewRandom() Random { return Random{} }

// Choose implements Policy.
func (Random) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	e, _ := candidates.Draw(nil, rng)
	return e
}
