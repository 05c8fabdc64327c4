package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// learn feeds n reports of a victim whose true weights are given by kind, with noise and outliers.
func learn(m *Model, victim Kind, weights map[Kind]float64, n int, rng *rand.Rand) time.Time {
	now := testStart
	for range n {
		now = now.Add(5 * time.Second)
		var list []Neighbour
		truth := 1.0
		for kind := Kind(1); int(kind) <= len(weights); kind++ {
			share := rng.Float64() / 2
			list = append(list, Neighbour{kind, share})
			truth += share * weights[kind]
		}
		measured := truth * (1 + 0.15*rng.NormFloat64())
		if rng.Float64() < 0.05 {
			measured *= 5
		}
		m.Observe(now, victim, list, measured)
	}
	return now
}

// Noise and outliers must not corrupt the learned weights, and the uncertainty must shrink.
func TestLearnsPairsFromNoisyReports(t *testing.T) {
	m := New(DefaultConfig())
	a, b, victim := m.Kind("a"), m.Kind("b"), m.Kind("victim")
	weights := map[Kind]float64{a: 1.2, b: 0.05}
	now := learn(m, victim, weights, 500, rand.New(rand.NewPCG(1, 1)))
	for kind, want := range weights {
		e := m.Pair(now, victim, kind)
		assert.Assert(t, math.Abs(e.Mean-want) < 0.15, "kind %d: %v, expected %v", kind, e.Mean, want)
		assert.Assert(t, e.Variance < 0.05*DefaultConfig().PriorDeviation*DefaultConfig().PriorDeviation, "%v", e.Variance)
	}
}

// Learned weights must decay after a workload has changed or ended.
func TestForgetsWithAge(t *testing.T) {
	cfg := DefaultConfig()
	m := New(cfg)
	a, victim := m.Kind("a"), m.Kind("victim")
	now := learn(m, victim, map[Kind]float64{a: 1.2}, 500, rand.New(rand.NewPCG(1, 1)))
	fresh := m.Pair(now, victim, a)
	old := m.Pair(now.Add(10*cfg.HalfLife), victim, a)
	assert.Assert(t, math.Abs(old.Mean-cfg.PriorMean) < 0.01*fresh.Mean, "%v", old.Mean)
	assert.Assert(t, old.Variance > 0.99*cfg.PriorDeviation*cfg.PriorDeviation, "%v", old.Variance)
}

// Meaningless reports must not enter the model, and the number of kinds must stay bounded.
func TestBounds(t *testing.T) {
	m := New(DefaultConfig())
	a := m.Kind("a")
	before := m.Pair(testStart, a, a)
	for _, slowdown := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Observe(testStart, a, []Neighbour{{a, 0.5}}, slowdown)
	}
	assert.Equal(t, m.Pair(testStart, a, a), before)
	for i := range 2 * MaxKinds {
		k := m.Kind(time.Duration(i).String())
		assert.Assert(t, int(k) < MaxKinds)
	}
	assert.Equal(t, m.Kind("one more"), KindOther)
}
