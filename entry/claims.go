package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/verdict"
)

const (
	// claimCommitTimeout bounds one transaction of claims, including retries after lost responses.
	claimCommitTimeout = 2 * time.Second
	// maxClaimBatch is the largest number of claims in one transaction.
	maxClaimBatch = 256
	// claimFlushTimeout bounds the writing of pending outcomes during shutdown.
	claimFlushTimeout = 5 * time.Second
	// maxPendingClaims is the largest number of pending changes while the table is unavailable. Beyond it outcomes are
	// dropped, and repeated requests get the response that the outcome is unknown.
	maxPendingClaims = 100_000
	// claimRetryWait is the longest delay before changes are sent again to an unavailable table.
	claimRetryWait = time.Second
	// claimBurst is how many transactions may be sent without spacing after an idle period, so that a keyed request on a
	// VM with few of them does not wait for its claim.
	claimBurst = 4
	// claimSlack is how long after its request's timeout a claim is considered abandoned.
	claimSlack = 2 * time.Second
)

var (
	errClaimExists = errors.New("the idempotency key is claimed")
	errClaimLost   = errors.New("the claim's row was changed by another process")
)

// claimOp is one change of the row of one claim. The goroutine of claims.run owns it until done is closed.
type claimOp struct {
	write     infra.Write
	condition infra.Condition
	// create is set for new claims, whose requests wait for the result. Other changes are retried until they are stored.
	create bool
	// ctx ends the wait of a new claim.
	ctx context.Context
	// done is closed when version and err are valid.
	done    chan struct{}
	version int64
	err     error
	// orphan is set if done was closed while the outcome of the write was unknown. If the row was written, it is
	// removed.
	orphan bool
}

// claims writes the claims of this entry VM to the table. It groups changes into transactions and commits one at a
// time.
type claims struct {
	server *Server
	writer *ledger.Writer
	wake   chan struct{}
	// limiter enforces the spacing between transactions. It is used only by the goroutine of run.
	limiter *rate.Limiter

	mu      sync.Mutex // guards pending and stopped
	pending []*claimOp
	stopped bool
	// unavailable is the last logged availability of the table. It is used only by the goroutine of run.
	unavailable bool
}

func newClaims(s *Server) *claims {
	return &claims{
		server: s, writer: ledger.NewWriter(s.cfg.Table, "entry/"+s.cfg.VM), wake: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Inf, claimBurst),
	}
}

// claim is a claim that this process holds.
type claim struct {
	key     string
	version int64
	row     claimRow
}

// create claims a key. Errors are errClaimExists, or a *verdict.Error with NotRun if the table did not confirm the
// claim in time. A claim that is written after that is removed.
func (c *claims) create(ctx context.Context, key string, row claimRow) (*claim, error) {
	op := &claimOp{
		write:     infra.Write{Key: key, Value: ledger.Encode(row)},
		condition: infra.Condition{Key: key},
		create:    true,
		ctx:       ctx,
		done:      make(chan struct{}),
	}
	if !c.submit(op) {
		return nil, verdict.New(verdict.NotRun, codeClaimsUnavailable, "the daemon is shutting down")
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		go c.removeAbandoned(op, row)
		return nil, verdict.Wrap(verdict.NotRun, codeClaimsUnavailable, context.Cause(ctx))
	}
	switch {
	case op.err == nil:
		return &claim{key: key, version: op.version, row: row}, nil
	case infra.IsConflict(op.err):
		return nil, errClaimExists
	default:
		return nil, verdict.Wrap(verdict.NotRun, codeClaimsUnavailable, op.err)
	}
}

// removeAbandoned removes a claim that was written after its request had stopped waiting.
func (c *claims) removeAbandoned(op *claimOp, row claimRow) {
	<-op.done
	if op.err == nil {
		c.remove(&claim{key: op.write.Key, version: op.version, row: row})
	}
}

// finish queues the outcome of a claim's request for writing. It does not wait.
func (c *claims) finish(held *claim, state claimState, fullDigest string, response *keptResponse) {
	row := held.row
	row.State = state
	row.FullDigest = fullDigest
	if response != nil && response.size() <= maxKeptResponse {
		row.Response = response
	}
	c.server.metrics.claims.WithLabelValues(string(state)).Inc()
	c.submit(&claimOp{
		write:     infra.Write{Key: held.key, Value: ledger.Encode(row)},
		condition: infra.Condition{Key: held.key, Version: held.version},
		done:      make(chan struct{}),
	})
}

// remove queues the deletion of a claim whose request did not run. It does not wait.
func (c *claims) remove(held *claim) {
	c.server.metrics.claims.WithLabelValues("removed").Inc()
	c.submit(&claimOp{
		write:     infra.Write{Key: held.key, Delete: true},
		condition: infra.Condition{Key: held.key, Version: held.version},
		done:      make(chan struct{}),
	})
}

func (c *claims) submit(op *claimOp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || len(c.pending) >= maxPendingClaims {
		return false
	}
	c.pending = append(c.pending, op)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// run commits pending changes until ctx ends, then writes the remaining ones for at most claimFlushTimeout.
func (c *claims) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.wake:
			c.commitPending(ctx)
		}
	}
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimFlushTimeout)
	defer cancel()
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.commitPending(flush)
	c.failPending()
}

// failPending fails the changes that could not be stored before shutdown.
func (c *claims) failPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, op := range c.pending {
		op.err = context.Canceled
		close(op.done)
	}
	c.pending = nil
}

// commitPending commits batches until nothing is pending or ctx ends.
func (c *claims) commitPending(ctx context.Context) {
	retry := c.spacing()
	for ctx.Err() == nil {
		c.gather(ctx)
		c.limiter.SetLimit(rate.Every(c.spacing()))
		if c.limiter.Wait(ctx) != nil {
			return
		}
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		if c.commit(ctx, batch) {
			retry = c.spacing()
			continue
		}
		retry = min(2*retry, claimRetryWait)
		if !wait.For(ctx, retry) {
			return
		}
	}
}

// gather delays outcomes, which no request waits for, so that they share a transaction with the next new claim. It
// returns when a new claim is pending, or after one spacing.
func (c *claims) gather(ctx context.Context) {
	timer := time.NewTimer(c.spacing())
	defer timer.Stop()
	for c.onlyOutcomesPending() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-c.wake:
		}
	}
}

func (c *claims) onlyOutcomesPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	create := slices.ContainsFunc(c.pending, func(op *claimOp) bool { return op.create })
	return len(c.pending) > 0 && !create
}

func (c *claims) spacing() time.Duration { return c.server.cfg.Settings().Entry.ClaimSpacing.D() }

// nextBatch removes the next batch from the pending changes. A batch contains a row only once, because conditions are
// checked against the state before the transaction: two claims of the same key would both succeed.
func (c *claims) nextBatch() []*claimOp {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*claimOp
	keys := map[string]bool{}
	for _, op := range c.pending {
		switch {
		case op.create && op.ctx.Err() != nil:
			op.err = op.ctx.Err()
			close(op.done)
		case keys[op.write.Key] || len(batch) == maxClaimBatch:
			rest = append(rest, op)
		default:
			keys[op.write.Key] = true
			batch = append(batch, op)
		}
	}
	c.pending = rest
	return batch
}

// commit writes a batch, then completes, fails or requeues its changes. It returns false if the table was unavailable.
func (c *claims) commit(ctx context.Context, batch []*claimOp) bool {
	version, err := c.transact(ctx, batch)
	var conflict *infra.ConflictError
	switch {
	case err == nil:
		c.recordAvailability(nil)
		c.completeBatch(batch, version)
		return true
	case errors.As(err, &conflict):
		c.recordAvailability(nil)
		c.splitConflict(batch, conflict)
		return true
	default:
		c.recordAvailability(err)
		c.failCreates(batch, err)
		return false
	}
}

// transact commits a batch and resolves an unknown outcome. Any error other than a conflict means that nothing was or
// will be written, or that ctx ended.
func (c *claims) transact(ctx context.Context, batch []*claimOp) (int64, error) {
	txn := infra.Txn{}
	for _, op := range batch {
		txn.Conditions = append(txn.Conditions, op.condition)
		txn.Writes = append(txn.Writes, op.write)
	}
	c.server.metrics.claimTxns.Inc()
	commitCtx, cancel := context.WithTimeout(ctx, claimCommitTimeout)
	defer cancel()
	version, err := c.writer.Commit(commitCtx, txn)
	if errors.Is(err, ledger.ErrUnresolved) {
		// The context of an earlier commit ended before its outcome was known. Its changes were failed or requeued, so
		// the conditions of this commit detect whether it was applied.
		if _, err := c.writer.Resolve(commitCtx); err != nil {
			return 0, err
		}
		version, err = c.writer.Commit(commitCtx, txn)
	}
	if !infra.IsUnknownOutcome(err) {
		return version, err
	}
	c.recordAvailability(err)
	return c.resolve(ctx, batch, err)
}

// resolve waits until the outcome of the last commit is known. New claims do not wait: they fail at once, and are
// removed if they were written.
func (c *claims) resolve(ctx context.Context, batch []*claimOp, cause error) (int64, error) {
	for {
		applied, err := c.writer.Resolve(ctx)
		if err == nil && !applied {
			return 0, &infra.UnavailableError{Err: cause}
		}
		if err == nil {
			return c.appliedVersion(ctx, batch)
		}
		c.refuseCreates(batch, cause)
		if !wait.For(ctx, c.server.jitter.around(claimRetryWait)) {
			return 0, err
		}
	}
}

// refuseCreates fails the new claims of a batch whose outcome is unknown and those pending behind it.
func (c *claims) refuseCreates(batch []*claimOp, cause error) {
	for _, op := range batch {
		if op.create && !op.orphan {
			op.orphan = true
			op.err = cause
			close(op.done)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = slices.DeleteFunc(c.pending, func(op *claimOp) bool {
		if op.create {
			op.err = cause
			close(op.done)
		}
		return op.create
	})
}

// appliedVersion reads the version that an applied batch gave its rows. While this process runs, no other process
// changes its rows, except to remove expired ones.
func (c *claims) appliedVersion(ctx context.Context, batch []*claimOp) (int64, error) {
	written := slices.IndexFunc(batch, func(op *claimOp) bool { return !op.write.Delete })
	if written < 0 {
		return 0, nil
	}
	for {
		rows, err := c.server.cfg.Table.Read(ctx, batch[written].write.Key)
		if err == nil {
			return rows[0].Version, nil
		}
		c.refuseCreates(batch, err)
		if !wait.For(ctx, c.server.jitter.around(claimRetryWait)) {
			return 0, err
		}
	}
}

// completeBatch completes the changes of a batch that was written.
func (c *claims) completeBatch(batch []*claimOp, version int64) {
	for _, op := range batch {
		if op.orphan {
			c.remove(&claim{key: op.write.Key, version: version})
			continue
		}
		op.version = version
		close(op.done)
	}
}

// splitConflict fails the changes whose conditions failed and requeues the others.
func (c *claims) splitConflict(batch []*claimOp, conflict *infra.ConflictError) {
	var again []*claimOp
	for _, op := range batch {
		if !conflict.Has(op.write.Key) {
			again = append(again, op)
			continue
		}
		op.err = conflict
		if !op.create {
			op.err = errClaimLost
		}
		close(op.done)
	}
	c.requeue(again)
}

// failCreates fails the new claims of a batch, so that their requests are refused at once, and requeues the outcomes.
func (c *claims) failCreates(batch []*claimOp, err error) {
	var again []*claimOp
	for _, op := range batch {
		if !op.create {
			again = append(again, op)
			continue
		}
		if !op.orphan {
			op.err = err
			close(op.done)
		}
	}
	c.requeue(again)
}

func (c *claims) requeue(ops []*claimOp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(ops, c.pending...)
}

// recordAvailability logs when the table becomes unavailable or available again.
func (c *claims) recordAvailability(err error) {
	if failed := err != nil; failed != c.unavailable {
		c.unavailable = failed
		if failed {
			c.server.cfg.Log.WithError(err).Warn("table service is unavailable; keyed requests are refused")
		} else {
			c.server.cfg.Log.Info("table service is available again; keyed requests are accepted")
		}
	}
}

// read returns the row of a claim and its version, or version 0 if the row does not exist.
func (c *claims) read(ctx context.Context, key string) (claimRow, int64, error) {
	rows, err := c.server.cfg.Table.Read(ctx, key)
	if err != nil {
		return claimRow{}, 0, err
	}
	if rows[0].Version == 0 {
		return claimRow{}, 0, nil
	}
	row, err := ledger.Decode[claimRow](key, rows[0].Value)
	return row, rows[0].Version, err
}

// vmListLag is how long a running entry VM may be missing from the VM list.
const vmListLag = 5 * time.Second

// noOutcomeExpected reports whether the holder of a claim is not expected to store an outcome any more: another process
// replaced it on this VM, its request has timed out, or its VM is not in the VM list. waited is how long a repeated
// request has waited for the outcome.
func (c *claims) noOutcomeExpected(row claimRow, waited time.Duration) bool {
	s := c.server
	if row.Holder == s.cfg.VM {
		return row.Instance != s.instance
	}
	if waited > time.Duration(row.TimeoutMillis)*time.Millisecond+claimSlack {
		return true
	}
	view := s.view.Load()
	return waited > vmListLag && view.entryIDs != nil && !view.entryIDs[row.Holder]
}
