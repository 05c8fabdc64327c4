// Package memory divides the memory of a VM among bounds that are kept in different places.
package memory

import (
	"math"
	"sync/atomic"
)

// Pool is memory that several bounds share. Each of them keeps a limit of its own, and all of them together that of the pool. Nil has no
// limit. It is safe for concurrent use.
type Pool struct {
	limit, held atomic.Int64
}

// NewPool returns a pool without a limit.
func NewPool() *Pool {
	p := &Pool{}
	p.limit.Store(math.MaxInt64)
	return p
}

// SetLimit changes the limit in bytes. What was taken stays.
func (p *Pool) SetLimit(bytes int64) { p.limit.Store(bytes) }

// Add takes bytes, or gives them back if they are negative.
func (p *Pool) Add(bytes int64) {
	if p != nil {
		p.held.Add(bytes)
	}
}

// Free returns how many more bytes may be taken; it is negative if more is taken than the limit.
func (p *Pool) Free() int64 {
	if p == nil {
		return math.MaxInt64 / 2 // sums with it don't overflow
	}
	return min(p.limit.Load()-p.held.Load(), math.MaxInt64/2)
}
