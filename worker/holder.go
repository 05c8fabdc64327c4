// Package worker is the holder's side of worker leases: deadlines, long polls, commands, reports and attachment.
//
// A Holder keeps the leases of one cell under one epoch. It renews leases without the table service, and it is the only
// judge of whether a lease has certainly lapsed.
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
	// driftPercent bounds how much faster the holder's clock may run than a worker's.
	driftPercent = 1
	// lapseMargin covers the rounding of lease durations to milliseconds and the time between two instructions.
	lapseMargin = 100 * time.Millisecond
	// maxHold bounds how long a poll is held, whatever the worker allows.
	maxHold = time.Second
	// stopHold replaces maxHold while a worker carries out a stop, because urgent work may wait for its report.
	stopHold = 100 * time.Millisecond
	// resendAfter is how long a command waits for its report before it is sent again.
	resendAfter = time.Second
	// silentAfter is how long a worker may send no poll before it is attached again and gets no starts.
	silentAfter = 3 * time.Second
	// maxCommands bounds the commands in one answer.
	maxCommands = 256
)

// errSuperseded ends a held poll whose worker has sent another one, and every poll of a closed holder.
var errSuperseded = errors.New("a newer poll of the worker has arrived")

// Config describes a Holder.
type Config struct {
	Cell  string
	Epoch int64
	// OwnerURL is the base URL that workers poll.
	OwnerURL string
	// Lease is the term of a worker's lease.
	Lease time.Duration
	// GrantUntil returns the instant from which no lease is granted: the offline limit.
	GrantUntil func() time.Time
	// PermitUntil returns the instant until which tasks may start; the zero time forbids starts.
	PermitUntil func() time.Time
	Workers     infra.Workers
	Rand        *rand.Rand
	Logger      *logrus.Entry
}

// Holder keeps the leases of a cell's workers. It is safe for concurrent use; mu guards every field below it.
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
	lapsed
)

// lease is what the holder knows of one worker.
type lease struct {
	id, addr    string
	state       leaseState
	incarnation string
	// deadline is when the lease runs out at the latest, before drift and margin.
	deadline time.Time
	// provenAt is when the lease of a worker that never attached has certainly lapsed; zero if nothing depends on it.
	provenAt time.Time
	// lastPoll is when the last poll since the first attach came, and lastHeard the last poll or attach.
	lastPoll, lastHeard time.Time
	// received and acked are the highest report numbers of the incarnation that were taken and are settled.
	received, acked int64
	commands        []*command
	// poll counts polls, so that a held one notices a newer one.
	poll int64
	// changed is closed and replaced when a held poll should look again.
	changed    chan struct{}
	attaching  bool
	nextAttach time.Time
	attachWait time.Duration
}

type command struct {
	infra.Command
	sentAt time.Time
	sends  int
}

// Event is something that the cell's owner must handle, in the order in which it happened.
type Event struct {
	Worker      string
	Incarnation string
	// Attached is set when the worker attached. Reports that it listed come before as events of their own.
	Attached *infra.AttachResponse
	Report   *infra.Report
	// Usage is what a poll measured. An event with nothing else is a worker that polls for the first time in a while.
	Usage []infra.Usage
}

// Wake signals that Drain has something to return.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// Drain returns the events since the last call.
func (h *Holder) Drain() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.events
	h.events = nil
	return events
}

// AddWorker makes the holder attach the worker at addr. A known worker only changes its address.
func (h *Holder) AddWorker(id, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.get(id)
	if l.addr != addr {
		l.addr = addr
		l.nextAttach = time.Time{}
		notify(h.attachCh)
	}
}

// Expect records that tasks may still run on a worker under a lease of an earlier owner until provenAt.
func (h *Holder) Expect(id string, provenAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(id).provenAt = provenAt
}

// Forget drops a worker that has lapsed or never attached and reports whether it did.
func (h *Holder) Forget(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil {
		return true
	}
	if l.state == attached || !l.provenAt.IsZero() {
		return false
	}
	delete(h.leases, id)
	return true
}

// Close ends every held poll. No lease is granted afterwards.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, l := range h.leases {
		l.touch()
	}
}

func (h *Holder) get(id string) *lease {
	l := h.leases[id]
	if l == nil {
		l = &lease{id: id, changed: make(chan struct{})}
		h.leases[id] = l
	}
	return l
}

func (l *lease) touch() {
	close(l.changed)
	l.changed = make(chan struct{})
}

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

// Status is the state of one worker as the holder sees it.
type Status struct {
	Attached bool
	// Silent is set if no poll has come since the attach, or for a while. Commands travel in the answers to polls, so
	// such a worker gets no starts.
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

// Lapsed returns the workers whose lease has certainly lapsed by now, each once. Their polls are refused until they
// attach again, so a lease cannot be renewed after it was returned here.
func (h *Holder) Lapsed(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, l := range h.leases {
		if !l.certainlyLapsed(now, h.cfg.Lease) {
			continue
		}
		l.state = lapsed
		l.provenAt = time.Time{}
		l.commands = nil
		l.touch()
		ids = append(ids, l.id)
	}
	return ids
}

func (l *lease) certainlyLapsed(now time.Time, term time.Duration) bool {
	switch l.state {
	case attached:
		return now.After(l.deadline.Add(drift(term)))
	case unattached:
		return !l.provenAt.IsZero() && now.After(l.provenAt)
	default:
		return false
	}
}

// drift returns what is added to a term before it counts as over on another machine.
func drift(term time.Duration) time.Duration { return term*driftPercent/100 + lapseMargin }

// OfflineProof returns when leases granted by a previous owner have certainly lapsed, if this owner took over at taken:
// the previous owner grants none after limit, and the last one runs for term.
func OfflineProof(taken time.Time, limit, term time.Duration) time.Time {
	return taken.Add(limit + drift(limit) + term + drift(term))
}

// Run attaches workers until ctx ends.
func (h *Holder) Run(ctx context.Context) { h.runAttach(ctx) }
