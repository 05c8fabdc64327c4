package route

import "math/rand/v2"

// TwoChoices draws two endpoints at random and chooses the one with the lower estimated cost. If a request would wait at
// both, it draws a few more, because two draws are too few to find the last free slots.
type TwoChoices struct{}

// extraDraws bounds the draws after the first two.
const extraDraws = 2

// NewTwoChoices returns the policy "p2c".
func NewTwoChoices() TwoChoices { return TwoChoices{} }

// Choose implements Policy.
func (TwoChoices) Choose(candidates Candidates, rng *rand.Rand) *Endpoint {
	best, trial := candidates.Draw(nil, rng)
	if best == nil || trial {
		return best
	}
	bestCost := candidates.Cost(best)
	for draw := range 1 + extraDraws {
		if draw > 0 && best.hasFreeSlot(candidates.at) {
			break
		}
		next, trial := candidates.Draw(best, rng)
		if next == nil {
			break
		}
		if trial {
			return next
		}
		if cost := candidates.Cost(next); cost < bestCost {
			best, bestCost = next, cost
		}
	}
	return best
}
