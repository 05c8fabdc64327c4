package standin

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Interference is a simple model of how co-located tasks slow each other down: the slow-down of a task is one plus, for each
// neighbour, the coefficient of the pair of kinds times the neighbour's share of the worker's processors.
type Interference struct {
	mu    sync.Mutex // guards the fields below
	pairs map[string]map[string]float64
}

// neighbour is a co-located task or resident runner.
type neighbour struct {
	kind string
	// share is the share of the worker's processors that it uses, 0 to 1.
	share float64
}

// NewInterference returns a model with default coefficients, which depend only on the pair of kinds.
func NewInterference() *Interference {
	return &Interference{pairs: map[string]map[string]float64{}}
}

// Set replaces the coefficients in pairs, which is keyed by the affected kind and then by the interfering kind.
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

// Slowdown returns the ratio of the run time of a unit of work beside the neighbours to its run time alone.
func (m *Interference) Slowdown(kind string, neighbours []neighbour) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	slowdown := 1.0
	for _, n := range neighbours {
		slowdown += m.coefficient(kind, n.kind) * n.share
	}
	return slowdown
}

// defaultCoefficients makes most pairs interfere hardly at all and a few strongly.
var defaultCoefficients = []float64{0, 0, 0.1, 0.1, 0.3, 1}

// coefficient returns the coefficient of a pair. The caller holds m.mu.
func (m *Interference) coefficient(kind, other string) float64 {
	if c, found := m.pairs[kind][other]; found {
		return c
	}
	return defaultCoefficients[xxhash.Sum64String(kind+"|"+other)%uint64(len(defaultCoefficients))]
}
