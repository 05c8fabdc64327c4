// Package emulator is a stand-in for the users' platform, for tests and the demo: its metadata store and its runners, with
// switches for the faults that the platform states. Each part has a Go interface for tests in virtual time, and an HTTP
// handler that speaks the platform's protocol.
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
	// StoreRefuses answers at once that nothing was done.
	StoreRefuses
	// StoreSilent does nothing and never answers.
	StoreSilent
	// StoreLosesAnswers applies commits and never answers them.
	StoreLosesAnswers
	// StoreAppliesLate applies commits after LateDelay, if their conditions still hold, and never answers them.
	StoreAppliesLate
)

// LateDelay is how much later StoreAppliesLate applies a commit.
const LateDelay = 2 * time.Second

var errNoAnswer = errors.New("no answer")

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	// Latency is the time of each call.
	Latency time.Duration

	mu      sync.Mutex // owned by the methods of Store
	rows    map[store.Key]store.Row
	history []store.Row
	// dropped is the version up to which the history is gone.
	dropped int64
	version int64
	fault   StoreFault
	changed chan struct{}
	commits int
	// txnTime is how long a transaction keeps its partitions busy; twice that if it has several.
	txnTime time.Duration
	// busy is when the transactions that wait for a partition will be applied.
	busy map[string]time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[store.Key]store.Row{}, changed: make(chan struct{}), busy: map[string]time.Time{}, Latency: 4 * time.Millisecond}
}

// SetFault changes how the store misbehaves from now on.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetTxnTime makes each transaction keep its partitions busy for a time, twice that if it has several. A partition refuses
// transactions while more than a second of them waits.
func (s *Store) SetTxnTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnTime = d
}

// DropHistory makes feeds from earlier versions fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
}

// Commits returns the number of commits that were applied.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Put sets a row, as operators and runners do.
func (s *Store) Put(key store.Key, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
}

// Drop deletes a row.
func (s *Store) Drop(key store.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Txn{Deletes: []store.Key{key}})
}

// enter waits for the store's latency and returns its fault.
func (s *Store) enter(ctx context.Context) (StoreFault, error) {
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

// maxQueue is how much work may wait for a partition before further transactions are refused.
const maxQueue = time.Second

// queue returns when the partitions of a transaction have applied it, and whether they take it.
func (s *Store) queue(txn store.Txn) (turn time.Time, ok bool) {
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
		if s.busy[part].Sub(now) > maxQueue {
			return time.Time{}, false
		}
		if s.busy[part].After(begin) {
			begin = s.busy[part]
		}
	}
	end := begin.Add(s.txnTime)
	if len(parts) > 1 {
		end = end.Add(s.txnTime)
	}
	for part := range parts {
		s.busy[part] = end
	}
	return end, true
}

// callTimeout is the time after which a call without an answer fails.
const callTimeout = 1500 * time.Millisecond

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fault, err := s.enter(ctx)
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
			if s.conflict(txn) == nil {
				s.apply(txn)
			}
		})
		<-ctx.Done()
		return 0, &store.UnknownOutcomeError{Err: errNoAnswer}
	}
	turn, ok := s.queue(txn)
	if !ok {
		return 0, store.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		// It is applied when its turn comes although nobody waits for it.
		time.AfterFunc(time.Until(turn), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.conflict(txn) == nil {
				s.apply(txn)
			}
		})
		return 0, &store.UnknownOutcomeError{Err: ctx.Err()}
	case <-time.After(time.Until(turn)):
	}
	s.mu.Lock()
	conflict := s.conflict(txn)
	var version int64
	if conflict == nil {
		version = s.apply(txn)
	}
	s.mu.Unlock()
	if fault == StoreLosesAnswers {
		<-ctx.Done()
		return 0, &store.UnknownOutcomeError{Err: errNoAnswer}
	}
	if conflict != nil {
		return 0, conflict
	}
	return version, nil
}

// conflict returns an error if a condition does not hold. The caller holds mu.
func (s *Store) conflict(txn store.Txn) error {
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
		s.history = append(s.history, row)
	}
	for _, k := range txn.Deletes {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, store.Row{Key: k, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fault, err := s.enter(ctx); err != nil || fault == StoreRefuses {
		return store.Page{}, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Key.Name < page.Rows[b].Key.Name })
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// maxPage is the number of rows that one answer holds.
const maxPage = 500

// Feed implements store.Store.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	deadline := time.After(wait)
	for {
		if fault, err := s.enter(ctx); err != nil || fault == StoreRefuses {
			return store.Page{}, store.ErrUnavailable
		}
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return store.Page{}, store.ErrHistoryGone
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
