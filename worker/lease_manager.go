// Package worker manages the leases of workers on behalf of a cell's owner: it attaches workers, answers their long polls,
// renews their leases, sends commands and collects reports.
//
// A LeaseManager manages the leases of one cell under one epoch. It renews leases without the table service. Only the
// LeaseManager decides whether a lease has expired for certain.
package worker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/infra"
)

const (
	// driftPercent is the maximum by which this process's clock may run faster than a worker's.
	driftPercent = 1
	// expiryMargin covers the rounding of lease durations to milliseconds and the delay between two instructions.
	expiryMargin = 100 * time.Millisecond
	// maxHold is the longest time for which a poll is held, even if the worker allows more.
	maxHold = time.Second
	// stopHold replaces maxHold while a worker executes a stop command, because urgent work may wait for its report.
	stopHold = 100 * time.Millisecond
	// resendAfter is the time without a report after which a command is sent again.
	resendAfter = time.Second
	// silentAfter is the time without a poll after which a worker is attached again and gets no starts.
	silentAfter = 3 * time.Second
	// maxCommands is the maximum number of commands in one poll response.
	maxCommands = 256
)

// errSuperseded is returned by a held poll if its worker has sent a newer one or the lease manager was closed.
var errSuperseded = errors.New("a newer poll of the worker has arrived")

// Config describes a LeaseManager.
type Config struct {
	Cell  string
	Epoch int64
	// OwnerURL is the base URL that workers poll.
	OwnerURL string
	// Lease is the term of a worker's lease.
	Lease time.Duration
	// GrantUntil returns the instant from which no lease is granted, which is set by the offline limit.
	GrantUntil func() time.Time
	// PermitUntil returns the instant until which tasks may start; the zero time permits no starts.
	PermitUntil func() time.Time
	Workers     infra.Workers
	Rand        *rand.Rand
	Logger      *logrus.Entry
}

// LeaseManager manages the leases of a cell's workers. It is safe for concurrent use. mu guards all fields below it.
type LeaseManager struct {
	cfg  Config
	wake chan struct{}

	mu       sync.Mutex
	leases   map[string]*lease
	events   []Event
	closed   bool
	attachCh chan struct{}
}

// NewLeaseManager returns a LeaseManager without workers.
func NewLeaseManager(cfg Config) *LeaseManager {
	return &LeaseManager{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		leases:   map[string]*lease{},
		attachCh: make(chan struct{}, 1),
	}
}

type leaseState uint8

const (
	unattached leaseState = iota
	attached
	expired
)

// lease is the state of one worker and its lease.
type lease struct {
	id, addr    string
	state       leaseState
	incarnation string
	// deadline is the latest time at which the lease expires, before drift and margin are added.
	deadline time.Time
	// expiredBy is the time by which the lease of a worker that never attached has expired for certain; zero if no task is
	// expected to run there.
	expiredBy time.Time
	// lastPoll is the time of the last poll since the first attach, and lastContact that of the last poll or attach.
	lastPoll, lastContact time.Time
	// received and acked are the highest sequence numbers of reports of the incarnation that were received and that are
	// acknowledged.
	received, acked int64
	commands        []*command
	// pollCount counts polls, so that a held poll detects a newer one.
	pollCount int64
	// changed is closed and replaced to wake held polls after a change.
	changed       chan struct{}
	attaching     bool
	nextAttach    time.Time
	attachBackoff time.Duration
}

// command is a queued command with the time of its last send and the number of sends.
type command struct {
	infra.Command
	sentAt time.Time
	sends  int
}

// Event is an attach, a report or a usage measurement that the cell's owner must handle. Events are in order of arrival.
type Event struct {
	Worker      string
	Incarnation string
	// Attached is set if the worker attached. The reports in the response come before it as separate events.
	Attached *infra.AttachResponse
	Report   *infra.Report
	// Usage holds the measurements of a poll. An event with no field set but Worker and Incarnation means that the worker
	// polls again after it was silent.
	Usage []infra.Usage
}

// Wake returns a channel that receives a value when Drain has events to return.
func (m *LeaseManager) Wake() <-chan struct{} { return m.wake }

// Drain returns the events since the last call.
func (m *LeaseManager) Drain() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}

// AddWorker adds a worker, which is then attached at addr. For a worker that was added before it only changes the address.
func (m *LeaseManager) AddWorker(id, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.getOrCreate(id)
	if l.addr != addr {
		l.addr = addr
		l.nextAttach = time.Time{}
		notify(m.attachCh)
	}
}

// TrackEarlierLease records that tasks may still run on a worker under a lease of an earlier owner, which expires by
// expiredBy.
func (m *LeaseManager) TrackEarlierLease(id string, expiredBy time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.getOrCreate(id).expiredBy = expiredBy
}

// Forget removes a worker whose lease has expired or that never attached, unless tasks may still run there. It reports
// whether the worker is removed.
func (m *LeaseManager) Forget(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return true
	}
	if l.state == attached || !l.expiredBy.IsZero() {
		return false
	}
	delete(m.leases, id)
	return true
}

// Close ends all held polls. No lease is granted afterwards.
func (m *LeaseManager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, l := range m.leases {
		l.signalChange()
	}
}

func (m *LeaseManager) getOrCreate(id string) *lease {
	l := m.leases[id]
	if l == nil {
		l = &lease{id: id, changed: make(chan struct{})}
		m.leases[id] = l
	}
	return l
}

// signalChange wakes the held polls of the worker.
func (l *lease) signalChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// notify wakes the reader of ch unless a wake-up is already pending.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (m *LeaseManager) emit(e Event) {
	m.events = append(m.events, e)
	notify(m.wake)
}

// Status is the state of one worker.
type Status struct {
	Attached bool
	// Silent is set if the worker has not polled since it was attached or for silentAfter. Commands are sent in poll
	// responses, so a silent worker gets no starts.
	Silent      bool
	Incarnation string
}

// Status returns the state of a worker.
func (m *LeaseManager) Status(id string) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return Status{Silent: true}
	}
	return Status{
		Attached:    l.state == attached,
		Silent:      time.Since(l.lastPoll) > silentAfter,
		Incarnation: l.incarnation,
	}
}

// ExpiredLeases returns the workers whose lease has expired for certain. Each expiry is returned once. Polls of these
// workers are rejected until they attach again, so a lease is never renewed after it was returned here.
func (m *LeaseManager) ExpiredLeases(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, l := range m.leases {
		if !l.hasExpired(now, m.cfg.Lease) {
			continue
		}
		l.state = expired
		l.expiredBy = time.Time{}
		l.commands = nil
		l.signalChange()
		ids = append(ids, l.id)
	}
	return ids
}

// hasExpired reports whether the lease has expired for certain, also by the clock of a worker that drifts.
func (l *lease) hasExpired(now time.Time, term time.Duration) bool {
	switch l.state {
	case attached:
		return now.After(l.deadline.Add(drift(term)))
	case unattached:
		return !l.expiredBy.IsZero() && now.After(l.expiredBy)
	default:
		return false
	}
}

// drift returns the time to add to a term before it counts as over on another machine.
func drift(term time.Duration) time.Duration { return term*driftPercent/100 + expiryMargin }

// OfflineLeaseExpiry returns the time by which all leases granted by the previous owner have expired for certain, if
// this owner took over at takenAt. The previous owner grants leases for at most limit after that, and the last one runs
// for term.
func OfflineLeaseExpiry(takenAt time.Time, limit, term time.Duration) time.Time {
	return takenAt.Add(limit + drift(limit) + term + drift(term))
}

// Run attaches workers until ctx ends.
func (m *LeaseManager) Run(ctx context.Context) { m.runAttach(ctx) }
