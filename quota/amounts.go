// Package quota divides the caps of organisations among cells: the rows that hold the division, the decision which row comes next, and
// the account of one cell's owner. It does no I/O. docs/design/caps.md explains the protocol.
package quota

import "github.com/currantthread/currantthread/workload"

// Amounts are thousandths of a core, MB of memory and accelerators, in this order.
type Amounts [3]int64

// NoBound is the value of an amount without a bound. It occurs in Share.Before only.
const NoBound = -1

// unbounded is a bound that bounds no resource.
var unbounded = Amounts{NoBound, NoBound, NoBound}

// Of returns an amount of resources.
func Of(r workload.Resources) Amounts { return Amounts{r.CPU, r.MemoryMB, r.GPU} }

// Add returns a + b.
func (a Amounts) Add(b Amounts) Amounts {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

// Sub returns a - b.
func (a Amounts) Sub(b Amounts) Amounts {
	for i := range a {
		a[i] -= b[i]
	}
	return a
}

// Times returns a multiplied by n.
func (a Amounts) Times(n int) Amounts {
	for i := range a {
		a[i] *= int64(n)
	}
	return a
}

// Min returns the smaller value of each amount.
func (a Amounts) Min(b Amounts) Amounts {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

// Max returns the larger value of each amount.
func (a Amounts) Max(b Amounts) Amounts {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// Within reports whether each amount is at most that of b.
func (a Amounts) Within(b Amounts) bool {
	for i := range a {
		if a[i] > b[i] {
			return false
		}
	}
	return true
}

// looser returns the larger of two bounds.
func looser(a, b Amounts) Amounts {
	for i := range a {
		if a[i] == NoBound || b[i] == NoBound {
			a[i] = NoBound
		} else {
			a[i] = max(a[i], b[i])
		}
	}
	return a
}

// boundedBy returns a, but at most a bound.
func (a Amounts) boundedBy(bound Amounts) Amounts {
	for i := range a {
		if bound[i] != NoBound {
			a[i] = min(a[i], bound[i])
		}
	}
	return a
}

// Charge returns what a task of a size counts towards a cap: at most the cap, so that a larger task can run alone, and nothing in
// dimensions without a cap.
func Charge(size, limit Amounts) Amounts { return size.Min(limit).Max(Amounts{}) }
