package standin

import (
	"net/http"
	"sync"

	"github.com/currantthread/currantthread/infra"
)

// RunCounts counts the requests that the runners of one process ran. It outlives the runners.
type RunCounts struct {
	mu         sync.Mutex // owned by the methods below
	total      int64
	numbers    int64
	requestIDs map[string]int64
	keys       map[string]int64
	tokens     map[string]int64
	byRunner   map[string]int64
	byMethod   map[string]int64
}

// NewRunCounts returns counts of nothing.
func NewRunCounts() *RunCounts {
	return &RunCounts{
		requestIDs: map[string]int64{}, keys: map[string]int64{}, tokens: map[string]int64{},
		byRunner: map[string]int64{}, byMethod: map[string]int64{},
	}
}

// add counts a request that begins to run.
func (c *RunCounts) add(req *http.Request, runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	c.byRunner[runner]++
	c.byMethod[req.Method]++
	count := func(counts map[string]int64, name string) {
		if name != "" {
			counts[name]++
		}
	}
	count(c.requestIDs, req.Header.Get(infra.HeaderRequestID))
	count(c.keys, req.Header.Get(headerIdempotencyKey))
	count(c.tokens, req.URL.Query().Get("token"))
}

// next returns a number that no other run of this process gets.
func (c *RunCounts) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.numbers++
	return c.numbers
}

// RunSummary is the part of GET /counts about requests.
type RunSummary struct {
	Runs       int64            `json:"runs"`
	RequestIDs int              `json:"request_ids"`
	Keys       int              `json:"keys"`
	Tokens     int              `json:"tokens"`
	ByRunner   map[string]int64 `json:"by_runner"`
	ByMethod   map[string]int64 `json:"by_method"`
	// Repeated counts IDs, keys and tokens that ran more than once. Idempotent requests may.
	RepeatedRequestIDs int `json:"repeated_request_ids"`
	RepeatedKeys       int `json:"repeated_keys"`
	RepeatedTokens     int `json:"repeated_tokens"`
}

// Summary returns the counts.
func (c *RunCounts) Summary() RunSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := RunSummary{
		Runs: c.total, RequestIDs: len(c.requestIDs), Keys: len(c.keys), Tokens: len(c.tokens),
		ByRunner: map[string]int64{}, ByMethod: map[string]int64{},
		RepeatedRequestIDs: repeated(c.requestIDs), RepeatedKeys: repeated(c.keys),
		RepeatedTokens: repeated(c.tokens),
	}
	for name, n := range c.byRunner {
		s.ByRunner[name] = n
	}
	for name, n := range c.byMethod {
		s.ByMethod[name] = n
	}
	return s
}

func repeated(counts map[string]int64) int {
	n := 0
	for _, count := range counts {
		if count > 1 {
			n++
		}
	}
	return n
}

// Lookup asks how often requests ran.
type Lookup struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Keys       []string `json:"keys,omitempty"`
	Tokens     []string `json:"tokens,omitempty"`
}

// LookupResult answers a Lookup with the count of each name, in its order.
type LookupResult struct {
	RequestIDs []int64 `json:"request_ids,omitempty"`
	Keys       []int64 `json:"keys,omitempty"`
	Tokens     []int64 `json:"tokens,omitempty"`
}

// Lookup returns how often requests ran.
func (c *RunCounts) Lookup(l Lookup) LookupResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	find := func(counts map[string]int64, names []string) []int64 {
		found := make([]int64, len(names))
		for i, name := range names {
			found[i] = counts[name]
		}
		return found
	}
	return LookupResult{
		RequestIDs: find(c.requestIDs, l.RequestIDs), Keys: find(c.keys, l.Keys), Tokens: find(c.tokens, l.Tokens),
	}
}
