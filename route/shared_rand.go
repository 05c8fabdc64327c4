package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// sharedSource is a SplitMix64 generator with an atomic state, so that concurrent requests draw from it without a lock.
type sharedSource struct {
	state atomic.Uint64
}

const splitMixIncrement = 0x9e3779b97f4a7c15

// Uint64 implements rand.Source.
func (s *sharedSource) Uint64() uint64 {
	z := s.state.Add(splitMixIncrement)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// runtimeSource draws from the per-thread generator of the Go runtime, so that concurrent requests don't contend.
type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// newSharedRand returns a generator that is safe for concurrent use: rand.Rand keeps no state besides its source. A seed
// of 0 means the runtime's generator.
func newSharedRand(seed uint64) *rand.Rand {
	if seed == 0 {
		return rand.New(runtimeSource{})
	}
	source := &sharedSource{}
	source.state.Store(seed)
	return rand.New(source)
}
