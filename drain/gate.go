// Package drain implements taking a failure domain out of use and returning it: Gate tracks whether tasks may start,
// SelectStops selects the tasks to stop, and Pacer limits the rate of starts after the return. An out-command takes a domain out
// of use, an in-command returns it.
package drain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
)

const (
	// readInterval is the time between reads of the domain row. The default permit covers four reads, so starts continue
	// after a few reads that fail quickly; a read that hangs for readTimeout uses it up.
	readInterval = 500 * time.Millisecond
	readTimeout  = 2 * time.Second
	// readBackoffMax bounds the time between failed reads, before jitter.
	readBackoffMax = 2 * time.Second
)

// State is the state of a failure domain as last read by this daemon.
type State struct {
	// Known is false until the row was read once.
	Known bool
	// Out is set if the row says that the domain is out.
	Out bool
	// Version of the row; 0 if it is absent, which means in.
	Version int64
	// PermitUntil is when the permission to start tasks expires, counted from when the last read was sent.
	PermitUntil time.Time
	// ReturnedAt is when this daemon observed the row change from out to in; zero if it never did.
	ReturnedAt time.Time
}

// StartsAllowed reports whether tasks may start at now.
func (s State) StartsAllowed(now time.Time) bool {
	return s.Known && !s.Out && now.Before(s.PermitUntil)
}

// Gate tracks the row of one failure domain and decides whether its tasks may start. It is safe for concurrent use; mu
// guards the fields below it.
type Gate struct {
	table  infra.Table
	key    string
	permit func() time.Duration
	rng    *rand.Rand
	wake   chan struct{}

	mu    sync.Mutex
	state State
	// announcedAt is when an out-command was last announced. Reads sent before that time do not permit starts.
	announcedAt time.Time
	// latestPermit is the latest expiry of any permit so far.
	latestPermit time.Time
	changed      chan struct{}
}

// NewGate returns a Gate that allows no starts until it has read the row. permit returns the length of a start permit.
func NewGate(table infra.Table, domain string, permit func() time.Duration, rng *rand.Rand) *Gate {
	return &Gate{
		table: table, key: ledger.DomainKey(domain), permit: permit, rng: rng,
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// Run reads the row periodically until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = readInterval / 2
	retry.MaxInterval = readBackoffMax
	for ctx.Err() == nil {
		pause := readInterval - time.Duration(g.rng.Int64N(int64(readInterval/5)))
		if g.Read(ctx) == nil {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
		}
		wait.ForSignal(ctx, pause, g.wake)
	}
}

// Read reads the row once.
func (g *Gate) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	rows, err := g.table.Read(ctx, g.key)
	if err != nil {
		return err
	}
	row := rows[0]
	out := false
	if row.Version != 0 {
		domain, err := ledger.Decode[ledger.Domain](row.Key, row.Value)
		// A row that can't be decoded is treated as out, because starting tasks requires permission.
		out = err != nil || domain.State != ledger.DomainIn
	}
	g.observe(sent, row.Version, out)
	return nil
}

func (g *Gate) observe(sent time.Time, version int64, out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.state.Version || !sent.After(g.announcedAt) && !g.announcedAt.IsZero() {
		return
	}
	if g.state.Known && g.state.Out && !out {
		g.state.ReturnedAt = time.Now()
	}
	before := g.state
	g.state.Known, g.state.Version, g.state.Out = true, version, out
	if out {
		g.state.PermitUntil = time.Time{}
	} else {
		g.extend(sent)
	}
	if before.Known != g.state.Known || before.Out != out || before.Version != version {
		g.notifyChanged()
	}
}

// extend extends the permit after a read or commit, sent at sent, has confirmed the known version of the row.
func (g *Gate) extend(sent time.Time) {
	if until := sent.Add(g.permit()); until.After(g.state.PermitUntil) {
		g.state.PermitUntil = until
	}
	if g.state.PermitUntil.After(g.latestPermit) {
		g.latestPermit = g.state.PermitUntil
	}
}

func (g *Gate) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Confirm extends the permit after a transaction that required version, sent at sent, was applied. This confirms the row
// like a read does.
func (g *Gate) Confirm(sent time.Time, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Known && !g.state.Out && g.state.Version == version && sent.After(g.announcedAt) {
		g.extend(sent)
	}
}

// Refresh triggers an immediate read.
func (g *Gate) Refresh() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Announce applies a command announced by a peer. An out-command withdraws the permit at once, even if it could not be
// stored, until a read that was sent later permits starts again. An in-command only triggers a read.
func (g *Gate) Announce(out bool) {
	if out {
		g.mu.Lock()
		g.announcedAt = time.Now()
		g.state.PermitUntil = time.Time{}
		g.notifyChanged()
		g.mu.Unlock()
	}
	g.Refresh()
}

// State returns the current state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// PermitUntil returns when the permission to start tasks expires; zero if there is none.
func (g *Gate) PermitUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Out || !g.state.Known {
		return time.Time{}
	}
	return g.state.PermitUntil
}

// LatestPermit returns the latest expiry of any permit so far. Start commands that were already sent cannot take effect
// after that time.
func (g *Gate) LatestPermit() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latestPermit
}

// Changed returns a channel that is closed when the row changes or an out-command is announced. Extending the permit does
// not close it.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}
