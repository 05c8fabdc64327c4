// Package emulator emulates the users' platform for tests and for the soak program: an in-memory metadata store and a fleet of
// runners, each with switches for the faults that the platform documents. Tests in virtual time call the Go interfaces
// directly; package platform serves both over the platform's HTTP protocol.
package emulator

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/currantthread/currantthread/store"
)

// StoreFault is a way in which the store misbehaves.
type StoreFault uint8

// Faults of the store.
const (
	// StoreWorks is no fault.
	StoreWorks StoreFault = iota
	// StoreRefuses responds at once that nothing was done.
	StoreRefuses
	// StoreSilent does nothing and never responds.
	StoreSilent
	// StoreLosesResponses applies commits and never responds to them.
	StoreLosesResponses
	// StoreAppliesLate applies commits after LateDelay, if their conditions still hold, and never responds to them.
	StoreAppliesLate
)

// LateDelay is the delay of StoreAppliesLate and RunnerAppliesLate.
const LateDelay = 2 * time.Second

var errNoStoreResponse = errors.New("no answer")

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	// Latency is the time of each call.
	Latency time.Duration

	mu      sync.Mutex // guards the fields below
	rows    map[store.Key]store.Row
	history []store.Row
	// droppedVersion is the version up to which the history was deleted.
	droppedVersion int64
	version        int64
	fault          StoreFault
	changed        chan struct{}
	commits        int
	// txnTime is how long a transaction keeps its partition busy; twice that if it spans several.
	txnTime time.Duration
	// busyUntil is when all transactions that wait for a partition will have been applied.
	busyUntil map[string]time.Time
	// changes are all changes of rows, in order, and readsBehind is how old the state is that Range returns.
	changes     []change
	readsBehind time.Duration
}

// change is a row as it was written or deleted at a time.
type change struct {
	row store.Row
	at  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[store.Key]store.Row{}, changed: make(chan struct{}), busyUntil: map[string]time.Time{}, Latency: 4 * time.Millisecond}
}

// SetFault changes how the store misbehaves from now on.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetTxnTime sets how long each transaction keeps its partition busy; twice that if it spans several. A partition refuses
// transactions while its backlog exceeds one second.
func (s *Store) SetTxnTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnTime = d
}

// SetReadsBehind sets how old the state is that range reads return. The protocol promises reads that are not old.
func (s *Store) SetReadsBehind(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsBehind = d
}

// DropHistory deletes the history, so that feeds from earlier versions fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Commits returns the number of commits that were applied.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Row returns a row as it is stored, whatever the store responds to its clients; a row that does not exist has version 0.
func (s *Store) Row(key store.Key) store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Put sets a row, as operators and runners do.
func (s *Store) Put(key store.Key, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
}

// Delete deletes a row.
func (s *Store) Delete(key store.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Txn{Deletes: []store.Key{key}})
}

// beginCall waits for the store's latency and returns the current fault.
func (s *Store) beginCall(ctx context.Context) (StoreFault, error) {
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(s.Latency):
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == StoreSilent {
		<-ctx.Done()
		return fault, ctx.Err()
	}
	return fault, nil
}

// maxBacklog is the backlog of a partition above which it refuses transactions.
const maxBacklog = time.Second

// enqueue adds a transaction to the backlog of its partitions and returns when it will be applied. ok is false if a partition
// refuses it.
func (s *Store) enqueue(txn store.Txn) (applyAt time.Time, ok bool) {
	parts := map[string]bool{}
	for _, c := range txn.Conditions {
		parts[c.Key.Part] = true
	}
	for _, w := range txn.Writes {
		parts[w.Key.Part] = true
	}
	for _, k := range txn.Deletes {
		parts[k.Part] = true
	}
	now := time.Now()
	begin := now
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range parts {
		if s.busyUntil[part].Sub(now) > maxBacklog {
			return time.Time{}, false
		}
		if s.busyUntil[part].After(begin) {
			begin = s.busyUntil[part]
		}
	}
	end := begin.Add(s.txnTime)
	if len(parts) > 1 {
		end = end.Add(s.txnTime)
	}
	for part := range parts {
		s.busyUntil[part] = end
	}
	return end, true
}

// callTimeout is the time after which a call without a response fails.
const callTimeout = 1500 * time.Millisecond

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fault, err := s.beginCall(ctx)
	if err != nil {
		return 0, &store.UnknownOutcomeError{Err: err}
	}
	switch fault {
	case StoreRefuses:
		return 0, store.ErrUnavailable
	case StoreAppliesLate:
		time.AfterFunc(LateDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.checkConditions(txn) == nil {
				s.apply(txn)
			}
		})
		<-ctx.Done()
		return 0, &store.UnknownOutcomeError{Err: errNoStoreResponse}
	}
	applyAt, ok := s.enqueue(txn)
	if !ok {
		return 0, store.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		// The transaction stays queued and is applied although the caller no longer waits.
		time.AfterFunc(time.Until(applyAt), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.checkConditions(txn) == nil {
				s.apply(txn)
			}
		})
		return 0, &store.UnknownOutcomeError{Err: ctx.Err()}
	case <-time.After(time.Until(applyAt)):
	}
	s.mu.Lock()
	conflict := s.checkConditions(txn)
	var version int64
	if conflict == nil {
		version = s.apply(txn)
	}
	s.mu.Unlock()
	if fault == StoreLosesResponses {
		<-ctx.Done()
		return 0, &store.UnknownOutcomeError{Err: errNoStoreResponse}
	}
	if conflict != nil {
		return 0, conflict
	}
	return version, nil
}

// checkConditions returns an error if a condition does not hold. The caller holds mu.
func (s *Store) checkConditions(txn store.Txn) error {
	failed := false
	var rows []store.Row
	for _, c := range txn.Conditions {
		row, ok := s.rows[c.Key]
		if ok {
			rows = append(rows, row)
		}
		failed = failed || row.Version != c.Version
	}
	if !failed {
		return nil
	}
	return &store.ConflictError{Rows: rows}
}

// apply applies a transaction and returns its version. The caller holds mu.
func (s *Store) apply(txn store.Txn) int64 {
	s.version++
	s.commits++
	for _, w := range txn.Writes {
		row := store.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: s.version}
		s.rows[w.Key] = row
		s.record(row)
	}
	for _, k := range txn.Deletes {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.record(store.Row{Key: k, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// record adds a changed row to the history. The caller holds mu.
func (s *Store) record(row store.Row) {
	s.history = append(s.history, row)
	s.changes = append(s.changes, change{row, time.Now()})
}

// visible returns the rows and the version that range reads return. The caller holds mu.
func (s *Store) visible() (map[store.Key]store.Row, int64) {
	if s.readsBehind == 0 {
		return s.rows, s.version
	}
	rows := map[store.Key]store.Row{}
	version := int64(0)
	for _, c := range s.changes {
		if time.Since(c.at) < s.readsBehind {
			break
		}
		version = c.row.Version
		if c.row.Deleted {
			delete(rows, c.row.Key)
		} else {
			rows[c.row.Key] = c.row
		}
	}
	return rows, version
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fault, err := s.beginCall(ctx); err != nil || fault == StoreRefuses {
		return store.Page{}, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, version := s.visible()
	page := store.Page{Version: version}
	for key, row := range rows {
		if key.Table == table && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Key.Name < page.Rows[b].Key.Name })
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// maxPageRows bounds the rows of one response.
const maxPageRows = 500

// Feed implements store.Store.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	deadline := time.After(wait)
	for {
		if fault, err := s.beginCall(ctx); err != nil || fault == StoreRefuses {
			return store.Page{}, store.ErrUnavailable
		}
		s.mu.Lock()
		if after < s.droppedVersion {
			s.mu.Unlock()
			return store.Page{}, store.ErrHistoryDropped
		}
		page := store.Page{Version: s.version}
		for _, row := range s.history {
			if row.Key.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return store.Page{}, store.ErrUnavailable
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}
