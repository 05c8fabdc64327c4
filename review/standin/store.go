package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type transaction struct {
	Precondition []row    `json:"precondition"`
	Writes       []row    `json:"writes"`
	Remove       []rowKey `json:"remove"`
	Across       bool     `json:"across"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

// storeFault is what happens to one transaction.
type storeFault struct {
	// late applies the transaction that much later, if its condition still holds, and answers nothing.
	late time.Duration
	// lost applies the transaction and answers nothing.
	lost bool
	// refused answers 503 and applies nothing.
	refused bool
	// silent applies nothing and answers nothing.
	silent bool
}

const (
	storeAnswerTime = 4 * time.Millisecond
	maxRowsPerPage  = 500
)

// metadataStore is the platform's store: rows, conditional transactions and a feed.
type metadataStore struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	// writtenAt is when a row was last written.
	writtenAt map[rowKey]time.Time
	ver       int64
	began     time.Time
	changed   chan struct{}
	// fault, if set, decides what happens to a transaction that a node sends.
	fault func(node string, txn *transaction) storeFault
	// readFault, if set, decides whether the store answers nothing to a read of a node.
	readFault func(node string) bool
	// behind is how old the rows are that reads return.
	behind time.Duration
	// snapshots are earlier states, the oldest first, while behind is set.
	snapshots []snapshot
	// writes counts the transactions of nodes, and faulty those that fault has changed.
	writes, faulty int
}

// snapshot is the state that ended at a time.
type snapshot struct {
	until time.Time
	ver   int64
	rows  map[rowKey]row
}

// setBehind makes reads return the state of some time ago.
func (s *metadataStore) setBehind(behind time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind, s.snapshots = behind, nil
}

// seen returns the state that a read returns. The caller holds mu.
func (s *metadataStore) seen() (map[rowKey]row, int64) {
	at := time.Now().Add(-s.behind)
	for i, old := range s.snapshots {
		if old.until.After(at) {
			s.snapshots = s.snapshots[i:]
			return old.rows, old.ver
		}
	}
	return s.rows, s.ver
}

func newMetadataStore() *metadataStore {
	return &metadataStore{rows: map[rowKey]row{}, writtenAt: map[rowKey]time.Time{}, began: time.Now(), changed: make(chan struct{})}
}

// setFault replaces the fault hook; nil ends the disruption.
func (s *metadataStore) setFault(fault func(node string, txn *transaction) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// lastWritten returns when a row with a key was last written in a table, in whatever partition.
func (s *metadataStore) lastWritten(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for k, at := range s.writtenAt {
		if k.Table == table && k.Key == key && at.After(last) {
			last = at
		}
	}
	return last
}

// countFromHere resets the counts of transactions.
func (s *metadataStore) countFromHere() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes, s.faulty = 0, 0
}

func (s *metadataStore) faultyWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faulty
}

func (s *metadataStore) allWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// put writes a row as the operator or a runner does.
func (s *metadataStore) put(key rowKey, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Writes: []row{{rowKey: key, Value: encoded}}})
}

func (s *metadataStore) remove(key rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Remove: []rowKey{key}})
}

// apply applies a transaction if its preconditions hold. The caller holds mu.
func (s *metadataStore) apply(txn *transaction) (conflict []row, ok bool) {
	ok = true
	for _, p := range txn.Precondition {
		current := s.rows[p.rowKey]
		current.rowKey = p.rowKey
		if current.Ver != p.Ver {
			ok = false
		}
		if current.Ver != 0 {
			conflict = append(conflict, current)
		}
	}
	if !ok {
		return conflict, false
	}
	if s.behind > 0 {
		s.snapshots = append(s.snapshots, snapshot{time.Now(), s.ver, maps.Clone(s.rows)})
	}
	s.ver++
	for _, w := range txn.Writes {
		w.Ver = s.ver
		s.rows[w.rowKey], s.writtenAt[w.rowKey] = w, time.Now()
		s.history = append(s.history, w)
	}
	for _, key := range txn.Remove {
		if _, exists := s.rows[key]; exists {
			delete(s.rows, key)
			s.history = append(s.history, row{rowKey: key, Ver: s.ver, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *metadataStore) answer(rows []row, more bool) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, HasMore: more, Ver: s.ver, NowMs: time.Since(s.began).Milliseconds()}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// unanswered leaves a request without an answer until its sender has gone.
func unanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
	panic(http.ErrAbortHandler)
}

// handler returns the store as one node reaches it.
func (s *metadataStore) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, node) })
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, node) })
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, node) })
	return mux
}

func (s *metadataStore) transact(w http.ResponseWriter, r *http.Request, node string) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(txn.Precondition)+len(txn.Writes)+len(txn.Remove) > 100 {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, wr := range txn.Writes {
		if wr.Table == "op" || wr.Table == "servers" {
			http.Error(w, "table belongs to the platform", http.StatusForbidden)
			return
		}
	}
	time.Sleep(storeAnswerTime)
	var fault storeFault
	s.mu.Lock()
	s.writes++
	if s.fault != nil {
		fault = s.fault(node, &txn)
	}
	if fault != (storeFault{}) {
		s.faulty++
	}
	switch {
	case fault.refused:
		s.mu.Unlock()
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case fault.silent:
		s.mu.Unlock()
		unanswered(r)
	case fault.late > 0:
		s.mu.Unlock()
		time.AfterFunc(fault.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(&txn)
		})
		unanswered(r)
	}
	conflict, ok := s.apply(&txn)
	answer := s.answer(conflict, false)
	s.mu.Unlock()
	if fault.lost {
		unanswered(r)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	if s.readFault != nil && s.readFault(node) {
		s.mu.Unlock()
		unanswered(r)
	}
	defer s.mu.Unlock()
	var rows []row
	state, ver := s.seen()
	for key, value := range state {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") &&
			(q.Get("target") == "" || key.Key < q.Get("target")) {
			rows = append(rows, value)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	answer := s.answer(rows, more)
	answer.Ver = ver
	writeJSON(w, http.StatusOK, answer)
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if s.readFault != nil && s.readFault(node) {
			s.mu.Unlock()
			unanswered(r)
		}
		var rows []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || expired {
			answer := s.answer(rows, false)
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, answer)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
