// Package interference learns how much co-located tasks slow each other down.
//
// Model predicts the excess slowdown of a task of kind a as the sum over its neighbours' kinds b of share(b) x
// weight(a, b), where share is the part of the worker's processors that tasks of kind b use. Each weight is tracked by
// a Kalman filter with a diagonal covariance, so a prediction comes with its uncertainty, and both decay towards the
// prior with age. Outliers are clipped before they are learned.
//
// Pressure and Load model how best-effort tasks raise the tail latency of serving tasks on the same runner.
//
// The approach of Model follows CPI2 (Zhang et al., EuroSys 2013), which finds antagonists from noisy per-task
// measurements, and Quasar (Delimitrou and Kozyrakis, ASPLOS 2014), which classifies interference per kind of work
// instead of per task.
//
// A Model has no locks. It must be used only by the goroutine that owns the scheduler using it.
package interference

import (
	"math"
	"time"
)

// Kind is a compact identity of a kind of task within one Model.
type Kind int32

// KindOther stands for tasks without a kind and for kinds beyond MaxKinds.
const KindOther Kind = 0

// MaxKinds bounds the number of distinct kinds, and so the memory of a Model.
const MaxKinds = 256

// decaySteps is the number of steps per half-life in which decay is applied; younger weights are used as they are.
const decaySteps = 1000

// Config holds the parameters of a Model.
type Config struct {
	// HalfLife is the time after which half of what was learned about a pair is forgotten.
	HalfLife time.Duration
	// Noise is the standard deviation of one measured slowdown; 0.2 means 20% of the run time alone.
	Noise float64
	// PriorMean is the weight assumed for a pair that was never measured.
	PriorMean float64
	// PriorDeviation is the standard deviation of weights among pairs.
	PriorDeviation float64
	// ClipDeviations bounds the innovation of one measurement, in standard deviations.
	ClipDeviations float64
}

// DefaultConfig returns parameters for usage reports that lag by seconds and workloads that change within hours.
func DefaultConfig() Config {
	return Config{HalfLife: 2 * time.Hour, Noise: 0.2, PriorMean: 0.3, PriorDeviation: 0.5, ClipDeviations: 3}
}

// Neighbour is the load that other tasks of one kind put on the worker.
type Neighbour struct {
	Kind Kind
	// Share is the part of the worker's processors that these tasks use, 0 to 1.
	Share float64
}

// Estimate is a predicted excess slowdown: 0.25 means that a unit of work takes 25% longer than alone.
type Estimate struct {
	Mean     float64
	Variance float64
}

// Upper returns the mean plus z standard deviations.
func (e Estimate) Upper(z float64) float64 { return e.Mean + z*math.Sqrt(e.Variance) }

type weight struct {
	mean     float64
	variance float64
	updated  time.Time
}

// Model holds the learned weights of one cell.
type Model struct {
	cfg   Config
	kinds map[string]Kind
	rows  [][]weight
}

// New returns a Model without observations.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, kinds: map[string]Kind{"": KindOther}, rows: make([][]weight, 1)}
}

// Kind returns the identity of a named kind of task.
func (m *Model) Kind(name string) Kind {
	if k, ok := m.kinds[name]; ok {
		return k
	}
	if len(m.rows) >= MaxKinds {
		return KindOther
	}
	k := Kind(len(m.rows))
	m.kinds[name] = k
	m.rows = append(m.rows, nil)
	return k
}

// Noise returns the standard deviation of one measured slowdown.
func (m *Model) Noise() float64 { return m.cfg.Noise }

// Pair predicts the excess slowdown of a task of kind victim whose neighbours of kind source use a whole worker.
func (m *Model) Pair(now time.Time, victim, source Kind) Estimate {
	w := m.current(now, victim, source)
	return Estimate{Mean: w.mean, Variance: w.variance}
}

// Predict returns the excess slowdown of a task of kind victim among neighbours.
func (m *Model) Predict(now time.Time, victim Kind, neighbours []Neighbour) Estimate {
	var mean, variance float64
	for _, n := range neighbours {
		w := m.current(now, victim, n.Kind)
		mean += n.Share * w.mean
		variance += n.Share * n.Share * w.variance
	}
	return Estimate{Mean: mean, Variance: variance}
}

// Observe learns from one measured slowdown (1 means as fast as alone) of a task of kind victim that ran among
// neighbours. at is the time of the measurement, not of its arrival.
func (m *Model) Observe(at time.Time, victim Kind, neighbours []Neighbour, slowdown float64) {
	if math.IsNaN(slowdown) || math.IsInf(slowdown, 0) || slowdown <= 0 {
		return
	}
	var predicted, innovationVariance float64
	for _, n := range neighbours {
		w := m.current(at, victim, n.Kind)
		predicted += n.Share * w.mean
		innovationVariance += n.Share * n.Share * w.variance
	}
	innovationVariance += m.cfg.Noise * m.cfg.Noise
	limit := m.cfg.ClipDeviations * math.Sqrt(innovationVariance)
	innovation := min(max(slowdown-1-predicted, -limit), limit)
	for _, n := range neighbours {
		if n.Share <= 0 {
			continue
		}
		w := m.current(at, victim, n.Kind)
		gain := w.variance * n.Share / innovationVariance
		w.mean = max(w.mean+gain*innovation, 0)
		w.variance -= gain * n.Share * w.variance
		m.store(victim, n.Kind, w)
	}
}

// current returns the weight of a pair, decayed to now.
func (m *Model) current(now time.Time, victim, source Kind) weight {
	prior := weight{m.cfg.PriorMean, m.cfg.PriorDeviation * m.cfg.PriorDeviation, now}
	row := m.rows[victim]
	if int(source) >= len(row) || row[source].updated.IsZero() {
		return prior
	}
	w := row[source]
	age := now.Sub(w.updated)
	if age < m.cfg.HalfLife/decaySteps {
		return w
	}
	kept := math.Exp2(-float64(age) / float64(m.cfg.HalfLife))
	w.mean = prior.mean + (w.mean-prior.mean)*kept
	w.variance = prior.variance + (w.variance-prior.variance)*kept
	w.updated = now
	return w
}

func (m *Model) store(victim, source Kind, w weight) {
	row := m.rows[victim]
	for int(source) >= len(row) {
		row = append(row, weight{})
	}
	row[source] = w
	m.rows[victim] = row
}
