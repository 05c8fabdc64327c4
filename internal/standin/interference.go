package standin

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Interference is a simple model of how tasks that share a worker slow each other down: the slow-down of a task is one
// plus, for each neighbour, a coefficient of the pair of kinds times the neighbour's share of the worker's processors.
type Interference struct {
	mu    sync.Mutex // owned by the methods below
	pairs map[string]map[string]float64
}

// neighbour is another task on the same worker.
type neighbour struct {
	kind string
	// share is the part of the worker's processors that it uses, 0 to 1.
	share float64
}

// NewInterference returns a model whose pairs have coefficients that depend on their kinds alone.
func NewInterference() *Interference {
	return &Interference{pairs: map[string]map[string]float64{}}
}

// Set replaces the coefficients that pairs names: first the kind that suffers, then the kind that it suffers from.
func (m *Interference) Set(pairs map[string]map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, others := range pairs {
		if m.pairs[kind] == nil {
			m.pairs[kind] = map[string]float64{}
		}
		maps.Copy(m.pairs[kind], others)
	}
}

// Slowdown returns the run time of a unit of work beside neighbours over its run time alone.
func (m *Interference) Slowdown(kind string, neighbours []neighbour) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	slowdown := 1.0
	for _, n := range neighbours {
		slowdown += m.coefficient(kind, n.kind) * n.share
	}
	return slowdown
}

// defaultCoefficients are chosen so that most pairs hardly matter and a few do.
var defaultCoefficients = []float64{0, 0, 0.1, 0.1, 0.3, 1}

// coefficient returns the coefficient of a pair. The caller holds m.mu.
func (m *Interference) coefficient(kind, other string) float64 {
	if c, found := m.pairs[kind][other]; found {
		return c
	}
	return defaultCoefficients[xxhash.Sum64String(kind+"|"+other)%uint64(len(defaultCoefficients))]
}
