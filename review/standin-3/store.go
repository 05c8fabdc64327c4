package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as it goes over the wire.
type row struct {
	rowKey
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Limits of the store by PROTOCOL.md.
const (
	maxEntries  = 100
	maxPageRows = 500
	maxRowBytes = 65536
	answerTime  = 4 * time.Millisecond
)

// store is the platform's metadata store. Its transactions are atomic and its responses linearizable.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	ver     int64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

type conditionEntry struct {
	rowKey
	Ver int64 `json:"ver"`
}

type writeEntry struct {
	rowKey
	Value string `json:"value"`
}

type transaction struct {
	Precondition []conditionEntry `json:"precondition"`
	Writes       []writeEntry     `json:"writes"`
	Remove       []rowKey         `json:"remove"`
	Across       bool             `json:"across"`
}

type rowsResponse struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

// apply applies a transaction whose conditions hold. The caller holds mu.
func (s *store) apply(tx transaction) {
	s.ver++
	for _, w := range tx.Writes {
		r := row{rowKey: w.rowKey, Value: w.Value, Ver: s.ver}
		s.rows[w.rowKey] = r
		s.changes = append(s.changes, r)
	}
	for _, k := range tx.Remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.changes = append(s.changes, row{rowKey: k, Ver: s.ver, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []writeEntry{{rowKey{table, "", key}, base64.StdEncoding.EncodeToString(encoded)}}})
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []rowKey{{table, "", key}}})
}

// value returns the value of a row, or nil.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	if !ok {
		return nil
	}
	value, _ := base64.StdEncoding.DecodeString(r.Value)
	return value
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTx(w, r)
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, c := range tx.Precondition {
		parts[c.Part] = true
	}
	for _, e := range tx.Writes {
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || len(value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, k := range tx.Remove {
		parts[k.Part] = true
		if k.Table == "op" || k.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(parts) > 1 && !tx.Across {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	holds := true
	current := []row{}
	for _, c := range tx.Precondition {
		found, ok := s.rows[c.rowKey]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Ver == c.Ver
	}
	if holds {
		s.apply(tx)
	}
	response := rowsResponse{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
	s.mu.Unlock()
	if !holds {
		response.Rows = current
		writeJSON(w, http.StatusPreconditionFailed, response)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	found := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			found = append(found, v)
		}
	}
	response := rowsResponse{Ver: s.ver, NowMs: s.nowMs()}
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return strings.Compare(found[a].Key, found[b].Key) < 0 })
	response.HasMore = len(found) > limit
	response.Rows = found[:min(len(found), limit)]
	writeJSON(w, http.StatusOK, response)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for expired := waitMs <= 0; ; {
		s.mu.Lock()
		response := rowsResponse{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after })
		for _, change := range s.changes[first:] {
			if change.Table != q.Get("table") {
				continue
			}
			if n := len(response.Rows); n >= maxPageRows && change.Ver > response.Rows[n-1].Ver {
				response.Ver = response.Rows[n-1].Ver
				break
			}
			response.Rows = append(response.Rows, change)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(response.Rows) > 0 || expired {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
