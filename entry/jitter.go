package entry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter generates random durations. It is safe for concurrent use.
type jitter struct {
	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed))}
}

// below returns a random duration in [0, limit).
func (j *jitter) below(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.rng.Int64N(int64(limit)))
}

// around returns a random duration in [d - d/8, d + d/8).
func (j *jitter) around(d time.Duration) time.Duration { return d - d/8 + j.below(d/4) }
