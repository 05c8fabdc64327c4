// Package drain takes a failure domain out and brings it back: permission to start tasks, emptying, and paced return.
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
	// readInterval is the time between reads of the domain row. Four reads fit into the default permit, so that a lost
	// one does not stop starts.
	readInterval = 500 * time.Millisecond
	readTimeout  = 2 * time.Second
	// readBackoffMax bounds the time between failed reads, before jitter.
	readBackoffMax = 2 * time.Second
)

// State is what a failure domain's daemons know of its row.
type State struct {
	// Known is false until the row was read once.
	Known bool
	// Out is set if the row, or a newer announcement, says that the domain is out.
	Out bool
	// Version of the row; 0 if it is absent, which means in.
	Version int64
	// PermitUntil is when the permission to start tasks ends. It counts from when the last read was sent.
	PermitUntil time.Time
	// ReturnedAt is when this daemon saw the row change from out to in; zero if it never did.
	ReturnedAt time.Time
}

// StartsAllowed reports whether tasks may start at now.
func (s State) StartsAllowed(now time.Time) bool {
	return s.Known && !s.Out && now.Before(s.PermitUntil)
}

// Gate follows the row of one failure domain. It is safe for concurrent use; mu guards the fields below it.
type Gate struct {
	table  infra.Table
	key    string
	permit func() time.Duration
	rng    *rand.Rand
	poke   chan struct{}

	mu    sync.Mutex
	state State
	// announced is when a peer last told that the domain leaves. Reads sent before do not allow starts.
	announced time.Time
	// ceiling is the latest permit that was ever in force.
	ceiling time.Time
	changed chan struct{}
}

// NewGate returns a Gate that allows no starts until it has read the row. permit returns the length of a start permit.
func NewGate(table infra.Table, domain string, permit func() time.Duration, rng *rand.Rand) *Gate {
	return &Gate{
		table: table, key: ledger.DomainKey(domain), permit: permit, rng: rng,
		poke: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// Run reads the row until ctx ends.
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
		wait.ForSignal(ctx, pause, g.poke)
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
		// An unreadable row is treated as out, because starting tasks is the act that needs permission.
		out = err != nil || domain.State != ledger.DomainIn
	}
	g.observe(sent, row.Version, out)
	return nil
}

func (g *Gate) observe(sent time.Time, version int64, out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.state.Version || !sent.After(g.announced) && !g.announced.IsZero() {
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
		g.signal()
	}
}

// extend moves the permit forward after a proof, sent at sent, that the row has the known version.
func (g *Gate) extend(sent time.Time) {
	if until := sent.Add(g.permit()); until.After(g.state.PermitUntil) {
		g.state.PermitUntil = until
	}
	if g.state.PermitUntil.After(g.ceiling) {
		g.ceiling = g.state.PermitUntil
	}
}

func (g *Gate) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Confirm records that a transaction that demanded version, sent at sent, was applied. It proves as much as a read.
func (g *Gate) Confirm(sent time.Time, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Known && !g.state.Out && g.state.Version == version && sent.After(g.announced) {
		g.extend(sent)
	}
}

// Refresh asks for a read without delay.
func (g *Gate) Refresh() {
	select {
	case g.poke <- struct{}{}:
	default:
	}
}

// Announce passes on what a peer knows of the row. An out-command withdraws the permit at once, also if it could not be
// stored; the next read sent afterwards decides. An in-command only asks for a read.
func (g *Gate) Announce(out bool) {
	if out {
		g.mu.Lock()
		g.announced = time.Now()
		g.state.PermitUntil = time.Time{}
		g.signal()
		g.mu.Unlock()
	}
	g.Refresh()
}

// State returns what is known now.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// PermitUntil returns when the permission to start tasks ends.
func (g *Gate) PermitUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Out || !g.state.Known {
		return time.Time{}
	}
	return g.state.PermitUntil
}

// Ceiling returns the end of the longest permit that was ever in force. A start that was already sent cannot happen
// later than that.
func (g *Gate) Ceiling() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ceiling
}

// Changed returns a channel that is closed when the state changes.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}
