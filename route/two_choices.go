package route

import "math/rand/v2"

// TwoChoices draws two endpoints at random and takes the one with the lower estimated cost.
type TwoChoices struct{}

// NewTwoChoices returns the policy "p2c".
func NewTwoChoices() TwoChoices { return TwoChoices{} }

// Choose implements Policy.
func (TwoChoices) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	first, trial := candidates.Draw(nil, rng)
	if first == nil || trial {
		return first
	}
	second, trial := candidates.Draw(first, rng)
	if second == nil {
		return first
	}
	if trial || candidates.Cost(second) < candidates.Cost(first) {
		return second
	}
	return first
}
