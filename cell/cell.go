// Package cell owns cells: the ownership row with its epoch, takeover, handover, and the serialized apply loop that
// claims queued tasks, writes assignments ahead of start commands and records how attempts end.
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
	// Members returns the workers of the cell as the VM list last showed them; ok is false before its first answer.
	Members func() (workers []infra.VM, ok bool)
	// Home orders the cells by their claim on a queued task: rank 0 claims at once, others only after a delay.
	Home func(t job.Task) (rank int)
	// Rand is the source of jitter. It is used by one goroutine at a time.
	Rand    *rand.Rand
	Logger  *logrus.Entry
	Metrics *Metrics
	// Serve is called with the holder of worker leases when this candidate becomes the owner, and with nil before it
	// gives the cell up.
	Serve func(cell string, holder PollServer)
}

// PollServer answers polls of one cell's workers.
type PollServer = infra.PollServer

// Status is what a cell tells about itself.
type Status struct {
	Owned         bool
	Epoch         int64
	Workers       int
	Running       int
	Queued        int
	Parked        []ParkedTask
	DomainVersion int64
	StartsAllowed bool
	// StartsInFlight is set while a start that was sent may still happen.
	StartsInFlight bool
}

// ParkedTask tells why a task waits.
type ParkedTask struct {
	Task   string
	Reason string
}

// Cell is one candidate for the ownership of one cell, and its owner from time to time.
type Cell struct {
	cfg Config
	// poke makes the apply loop scan the queues, and offered makes the candidate read the ownership row.
	poke    chan struct{}
	offered chan struct{}

	mu     sync.Mutex // guards the fields below
	status Status
	holder holderStatus
	// startsUntil is until when a start of an earlier ownership may still happen.
	startsUntil time.Time
}

type holderStatus interface{ StartsInFlight() bool }

// New returns a candidate.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg, poke: make(chan struct{}, 1), offered: make(chan struct{}, 1)}
}

// Name returns the cell's name.
func (c *Cell) Name() string { return c.cfg.Cell }

// Poke hints that queues changed.
func (c *Cell) Poke() { notify(c.poke) }

// Offer hints that the ownership row names this candidate or is free.
func (c *Cell) Offer() { notify(c.offered) }

// Status returns the state of the cell as of the last turn of the apply loop.
func (c *Cell) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status
	status.StartsInFlight = c.holder != nil && c.holder.StartsInFlight() || time.Now().Before(c.startsUntil)
	return status
}

func (c *Cell) setStatus(s Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = s
}

func (c *Cell) setHolder(h holderStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = h
}

// ended notes that this candidate does not own the cell any more.
func (c *Cell) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil && c.holder.StartsInFlight() {
		c.startsUntil = c.cfg.Gate.Ceiling()
	}
	c.holder = nil
	c.status = Status{}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// errLost ends an ownership that another candidate has taken.
var errLost = stderrors.New("ownership is lost")

// errInconsistent ends an ownership whose memory does not match the ledger. It is taken up again from the ledger.
var errInconsistent = stderrors.New("memory does not match the ledger")

// Run is a candidate for the cell until ctx ends, and owns it whenever it can. When ctx ends while it owns the cell, it
// hands it over to successor, or releases it if successor reports none.
func (c *Cell) Run(ctx context.Context, successor func() (Successor, bool), announce Announcer) {
	for ctx.Err() == nil {
		taken, ok := c.acquire(ctx)
		if !ok {
			return
		}
		o := newOwner(c, taken)
		err := o.run(ctx)
		o.close()
		c.cfg.Metrics.released(c.cfg.Cell)
		c.ended()
		if ctx.Err() == nil {
			c.cfg.Logger.WithError(err).WithField("cell", c.cfg.Cell).Warn("ownership ended")
			continue
		}
		o.handover(context.WithoutCancel(ctx), successor, announce)
	}
}

// Announcer tells a successor that the ownership row names it. A lost message costs time only.
type Announcer func(ctx context.Context, to Successor, cell string, epoch int64) error

// ownership is a row written by this candidate.
type ownership struct {
	row     ledger.Owner
	version int64
	// sentAt is when the write that took the cell was sent, and at when its answer came.
	sentAt, at time.Time
	// fresh is set if nobody owned the cell before, so that no worker can hold a lease.
	fresh  bool
	writer *ledger.Writer
}
