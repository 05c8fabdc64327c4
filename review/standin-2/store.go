package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// rowKey identifies a row of the platform's store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store sends it.
type row struct {
	rowKey
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// txn is the body of rows-tx.
type txn struct {
	Precondition []row    `json:"precondition"`
	Writes       []row    `json:"writes"`
	Remove       []rowKey `json:"remove"`
}

// store is the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// apply applies a transaction, or returns the current rows of its preconditions if one does not hold.
func (s *store) apply(t *txn) (version int64, conflicts []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, c := range t.Precondition {
		current, exists := s.rows[c.rowKey]
		if !exists {
			current = row{rowKey: c.rowKey}
		}
		failed = failed || current.Ver != c.Ver
		conflicts = append(conflicts, current)
	}
	if failed {
		return 0, conflicts
	}
	s.version++
	for _, w := range t.Writes {
		s.record(row{rowKey: w.rowKey, Value: w.Value, Ver: s.version})
	}
	for _, k := range t.Remove {
		if _, exists := s.rows[k]; exists {
			s.record(row{rowKey: k, Ver: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *store) record(r row) {
	s.history = append(s.history, r)
	if r.Tombstone {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
}

func (s *store) put(table, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&txn{Writes: []row{{rowKey: rowKey{Table: table, Key: name}, Value: encoded}}})
}

func (s *store) remove(table, name string) {
	s.apply(&txn{Remove: []rowKey{{Table: table, Key: name}}})
}

// storeFault is how the store treats the calls of one machine.
type storeFault int32

const (
	storeWorks storeFault = iota
	storeSilent
	storeBusy
	storeReset
)

// storeFront is the store as one machine of the system reaches it.
type storeFront struct {
	store *store
	fault atomic.Int32
}

const (
	storeLatency = 4 * time.Millisecond
	maxPageRows  = 500
)

// admit waits for the store's latency and reports whether the call is served. Otherwise it has dealt with the call.
func (f *storeFront) admit(w http.ResponseWriter, r *http.Request) bool {
	time.Sleep(storeLatency)
	switch storeFault(f.fault.Load()) {
	case storeSilent:
		<-r.Context().Done()
		return false
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case storeReset:
		dropConnection(w)
		return false
	}
	return true
}

func dropConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (f *storeFront) reply(w http.ResponseWriter, r *http.Request, status int, ver int64, rows []row, more bool) {
	if storeFault(f.fault.Load()) == storeSilent {
		<-r.Context().Done()
		return
	}
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "has_more": more, "ver": ver, "now_ms": time.Since(f.store.began).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var t txn
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if !f.admit(w, r) {
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		version, conflicts := f.store.apply(&t)
		if conflicts != nil {
			f.reply(w, r, http.StatusPreconditionFailed, f.store.current(), conflicts, false)
			return
		}
		f.reply(w, r, http.StatusOK, version, nil, false)
	case "GET /v1/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit")) // 0 if absent
		rows, more, version := f.store.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
		f.reply(w, r, http.StatusOK, version, rows, more)
	case "GET /v1/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // 0 if absent
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)  // 0 if absent
		rows, version := f.store.feed(r, q.Get("table"), after, time.Duration(ms)*time.Millisecond)
		f.reply(w, r, http.StatusOK, version, rows, false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *store) list(table, part, from, to string, limit int) (rows []row, more bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	if len(rows) > limit {
		return rows[:limit], true, s.version
	}
	return rows, false, s.version
}

func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) ([]row, int64) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		var rows []row
		version := s.version
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, h := range s.history[first:] {
			if h.Table != table {
				continue
			}
			if len(rows) >= maxPageRows && h.Ver != rows[len(rows)-1].Ver {
				version = rows[len(rows)-1].Ver
				break
			}
			rows = append(rows, h)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return rows, version
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, version
		case <-r.Context().Done():
			return nil, version
		}
	}
}
