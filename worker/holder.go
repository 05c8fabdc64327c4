// Package worker manages the leases of workers on behalf of a cell's owner: it attaches workers, answers their long polls,
// renews their leases, sends commands and collects reports.
//
// A Holder manages the leases of one cell under one epoch. It renews leases without the table service. Only the Holder
// decides whether a lease has expired for certain.
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

// errSuperseded is returned by a held poll if its worker has sent a newer one or the holder was closed.
var errSuperseded = errors.New("a newer poll of the worker has arrived")

// Config describes a Holder.
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

// Holder manages the leases of a cell's workers. It is safe for concurrent use. mu guards all fields below it.
type Holder struct {
	cfg  Config
	wake chan struct{}

	mu       sync.Mutex
	leases   map[string]*lease
	events   []Event
	closed   bool
	attachCh chan struct{}
}

// NewHolder returns a Holder without workers.
func NewHolder(cfg Config) *Holder {
	return &Holder{
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
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// Drain returns the events since the last call.
func (h *Holder) Drain() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.events
	h.events = nil
	return events
}

// AddWorker adds a worker, which is then attached at addr. For a worker that was added before it only changes the address.
func (h *Holder) AddWorker(id, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.getOrCreate(id)
	if l.addr != addr {
		l.addr = addr
		l.nextAttach = time.Time{}
		notify(h.attachCh)
	}
}

// Expect records that tasks may still run on a worker under a lease of an earlier owner, which expires by expiredBy.
func (h *Holder) Expect(id string, expiredBy time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getOrCreate(id).expiredBy = expiredBy
}

// Forget removes a worker whose lease has expired or that never attached, unless tasks may still run there. It reports
// whether the worker is removed.
func (h *Holder) Forget(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil {
		return true
	}
	if l.state == attached || !l.expiredBy.IsZero() {
		return false
	}
	delete(h.leases, id)
	return true
}

// Close ends all held polls. No lease is granted afterwards.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, l := range h.leases {
		l.signalChange()
	}
}

func (h *Holder) getOrCreate(id string) *lease {
	l := h.leases[id]
	if l == nil {
		l = &lease{id: id, changed: make(chan struct{})}
		h.leases[id] = l
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

func (h *Holder) emit(e Event) {
	h.events = append(h.events, e)
	notify(h.wake)
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
func (h *Holder) Status(id string) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil {
		return Status{Silent: true}
	}
	return Status{
		Attached:    l.state == attached,
		Silent:      time.Since(l.lastPoll) > silentAfter,
		Incarnation: l.incarnation,
	}
}

// Lapsed returns the workers whose lease has expired for certain. Each expiry is returned once. Polls of these workers are
// rejected until they attach again, so a lease is never renewed after it was returned here.
func (h *Holder) Lapsed(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, l := range h.leases {
		if !l.hasExpired(now, h.cfg.Lease) {
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

// OfflineProof returns the time by which all leases granted by the previous owner have expired for certain, if this owner
// took over at takenAt. The previous owner grants leases for at most limit after that, and the last one runs for term.
func OfflineProof(takenAt time.Time, limit, term time.Duration) time.Time {
	return takenAt.Add(limit + drift(limit) + term + drift(term))
}

// Run attaches workers until ctx ends.
func (h *Holder) Run(ctx context.Context) { h.runAttach(ctx) }
