package standin

import (
	"net/http"
	"sync"

	"github.com/currantthread/currantthread/infra"
)

// RunCounts counts the requests that the runners of one process executed. It includes runners that have ended.
type RunCounts struct {
	mu         sync.Mutex // guards the fields below
	total      int64
	lastNumber int64
	requestIDs map[string]int64
	keys       map[string]int64
	tokens     map[string]int64
	byRunner   map[string]int64
	byMethod   map[string]int64
}

// NewRunCounts returns counts of zero.
func NewRunCounts() *RunCounts {
	return &RunCounts{
		requestIDs: map[string]int64{}, keys: map[string]int64{}, tokens: map[string]int64{},
		byRunner: map[string]int64{}, byMethod: map[string]int64{},
	}
}

// countRequest counts a request whose execution begins.
func (c *RunCounts) countRequest(req *http.Request, runner string) {
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

// nextNumber returns a number that is unique among the runs of this process.
func (c *RunCounts) nextNumber() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// RunSummary is the part of GET /counts about requests.
type RunSummary struct {
	Runs       int64            `json:"runs"`
	RequestIDs int              `json:"request_ids"`
	Keys       int              `json:"keys"`
	Tokens     int              `json:"tokens"`
	ByRunner   map[string]int64 `json:"by_runner"`
	ByMethod   map[string]int64 `json:"by_method"`
	// The Repeated fields count IDs, keys and tokens that ran more than once, as idempotent requests may.
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

// Lookup is the body of POST /lookup. It requests the run counts of requests by ID, key or token.
type Lookup struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Keys       []string `json:"keys,omitempty"`
	Tokens     []string `json:"tokens,omitempty"`
}

// LookupResult is the response to a Lookup: the count of each name, in the same order.
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
