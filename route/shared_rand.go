package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// sharedSource is the SplitMix64 generator with an atomic state, so that many requests draw from it without a lock.
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

// newSharedRand returns a generator that is safe for concurrent use: rand.Rand keeps no state besides its source.
func newSharedRand(seed uint64) *rand.Rand {
	source := &sharedSource{}
	if seed == 0 {
		seed = rand.Uint64()
	}
	source.state.Store(seed)
	return rand.New(source)
}
