// Package cell schedules the tasks of cells. A cell is a group of workers in one failure domain with one owner at a time.
//
// Each sched daemon of the domain is a candidate for the cell's ownership row. The owner runs a serialized apply loop, which
// claims queued tasks, writes assignments to the ledger before it sends start commands, and records how attempts end. The
// package also implements takeover from a dead owner and handover during a shutdown.
package cell

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/drain"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

// Successor is a live sched daemon of the same failure domain.
type Successor struct {
	VM string
	// Addr is host:port for inner messages.
	Addr string
}

// Config describes one candidate for one cell. All fields are required unless they say otherwise.
type Config struct {
	Cell   string
	Domain string
	Region string
	// VM is the name of this VM, and Addr host:port of its sched daemon for inner messages.
	VM   string
	Addr string
	// OwnerURL is the base URL that workers poll.
	OwnerURL string
	Settings func() settings.Effective
	Table    infra.Table
	Workers  infra.Workers
	Gate     *drain.Gate
	// NewPlanner returns an empty planner for a new ownership.
	NewPlanner func() Planner
	// CellWorkers returns the workers of the cell from the last read of the VM list; ok is false before the first read.
	CellWorkers func() (workers []infra.VM, ok bool)
	// ClaimRank returns the cell's rank among the cells that may claim a queued task. Rank 0 claims it at once; each
	// further rank waits longer.
	ClaimRank func(t job.Task) (rank int)
	// Rand is the source of jitter. It is used by one goroutine at a time.
	Rand    *rand.Rand
	Logger  *logrus.Entry
	Metrics *Metrics
	// SetPollServer is called with the server of worker polls when this candidate becomes the owner, and with nil before it
	// releases the cell.
	SetPollServer func(cell string, server PollServer)
}

// PollServer handles polls of one cell's workers.
type PollServer = infra.PollServer

// Status is the state of a cell as this candidate reports it.
type Status struct {
	Owned         bool
	Epoch         int64
	Workers       int
	Running       int
	Queued        int
	Parked        []ParkedTask
	DomainVersion int64
	StartsAllowed bool
	// StartsInFlight is set while a start command that was sent may still take effect.
	StartsInFlight bool
}

// ParkedTask is a queued task that cannot be placed, with the reason.
type ParkedTask struct {
	Task   string
	Reason string
}

// Cell is a candidate for the ownership of one cell. It runs the cell while it is the owner.
type Cell struct {
	cfg Config
	// scanWake triggers a scan of the queues, and ownerWake a read of the ownership row.
	scanWake  chan struct{}
	ownerWake chan struct{}

	mu           sync.Mutex // guards the fields below
	status       Status
	startTracker startTracker
	// startsPossibleUntil is when the last start command of an earlier ownership expires.
	startsPossibleUntil time.Time
}

type startTracker interface{ StartsInFlight() bool }

// New returns a candidate.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg, scanWake: make(chan struct{}, 1), ownerWake: make(chan struct{}, 1)}
}

// Name returns the cell's name.
func (c *Cell) Name() string { return c.cfg.Cell }

// WakeScan triggers a scan of the queues because they may have changed.
func (c *Cell) WakeScan() { notify(c.scanWake) }

// CheckOwnership triggers a read of the ownership row because it may name this candidate or be free.
func (c *Cell) CheckOwnership() { notify(c.ownerWake) }

// Status returns the state of the cell after the last step of the apply loop.
func (c *Cell) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status
	status.StartsInFlight = c.startTracker != nil && c.startTracker.StartsInFlight() || time.Now().Before(c.startsPossibleUntil)
	return status
}

func (c *Cell) setStatus(s Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = s
}

func (c *Cell) setStartTracker(t startTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startTracker = t
}

// clearOwnership resets the status after this candidate has lost or released the cell.
func (c *Cell) clearOwnership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startTracker != nil && c.startTracker.StartsInFlight() {
		c.startsPossibleUntil = c.cfg.Gate.LatestPermit()
	}
	c.startTracker = nil
	c.status = Status{}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// errOwnershipLost ends an ownership because another candidate has taken the cell over.
var errOwnershipLost = stderrors.New("another candidate has taken the ownership")

// errInconsistent ends an ownership whose state in memory differs from the ledger. The next ownership restores the state
// from the ledger.
var errInconsistent = stderrors.New("state in memory differs from the ledger")

// Run acquires and runs the cell whenever possible until ctx ends. If it owns the cell then, it hands the cell over to
// successor, or releases it if there is no successor.
func (c *Cell) Run(ctx context.Context, successor func() (Successor, bool), announce Announcer) {
	for ctx.Err() == nil {
		acquired, ok := c.acquire(ctx)
		if !ok {
			return
		}
		o := newOwner(c, acquired)
		err := o.run(ctx)
		o.close()
		c.cfg.Metrics.released(c.cfg.Cell)
		c.clearOwnership()
		if ctx.Err() == nil {
			c.cfg.Logger.WithError(err).WithField("cell", c.cfg.Cell).Warn("cell ownership ended; trying to acquire the cell again")
			continue
		}
		o.handover(context.WithoutCancel(ctx), successor, announce)
	}
}

// Announcer notifies a successor that the ownership row names it. If the message is lost, the successor finds out at its
// next read of the row.
type Announcer func(ctx context.Context, to Successor, cell string, epoch int64) error

// acquiredOwnership is an ownership row that this candidate has written.
type acquiredOwnership struct {
	row     ledger.Owner
	version int64
	// sentAt is when the write of the row was sent, and committedAt when its response arrived.
	sentAt, committedAt time.Time
	// fresh is set if the cell had no owner before, so no worker can hold a lease.
	fresh  bool
	writer *ledger.Writer
}
