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
	// claimCommitTime bounds one transaction of claims, repeats after lost answers included.
	claimCommitTime = 2 * time.Second
	// claimBatch is the largest number of claims in one transaction.
	claimBatch = 256
	// claimFlushTime bounds the writing of outcomes after the server was told to end.
	claimFlushTime = 5 * time.Second
	// claimBacklog is the number of outcomes that wait for an unavailable table. Beyond it outcomes are dropped, and
	// repeats of their requests are told that the outcome is unknown.
	claimBacklog = 100_000
	// claimRetryWait is the longest wait before outcomes are sent again to an unavailable table.
	claimRetryWait = time.Second
	// claimBurst is how many transactions may go out without the spacing between them after a quiet time, so that a keyed
	// request on a VM with few of them does not wait for its claim.
	claimBurst = 4
	// claimSlack is added to a request's time when its claim is judged to be abandoned.
	claimSlack = 2 * time.Second
)

var (
	errClaimExists = errors.New("the idempotency key is claimed")
	errClaimLost   = errors.New("the claim's row was changed by somebody else")
)

// claimOp is one change of one claim's row. The goroutine of claims.run owns it until done is closed.
type claimOp struct {
	write     infra.Write
	condition infra.Condition
	// create is set for new claims, whose requests wait for the result. Other changes are repeated until stored.
	create bool
	// ctx ends the wait of a new claim.
	ctx context.Context
	// done is closed once version and err are valid.
	done    chan struct{}
	version int64
	err     error
	// orphan is set if done was closed while the outcome was unknown. The row is removed if it turns out to be written.
	orphan bool
}

// claims writes the claims of this entry VM in grouped transactions, one at a time.
type claims struct {
	server *Server
	writer *ledger.Writer
	wake   chan struct{}
	// limiter spaces transactions; its owner is the goroutine of run.
	limiter *rate.Limiter

	mu      sync.Mutex // owner: claims; guards pending and stopped
	pending []*claimOp
	stopped bool
	// unavailable is the state last logged; its owner is the goroutine of run.
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

// create claims a key. Errors: errClaimExists, or a *verdict.Error with NotRun if the table did not confirm the claim in
// time. Such a claim is removed if it turns up later.
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
		go c.removeLate(op, row)
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

// removeLate removes a claim whose request gave up before the table confirmed it.
func (c *claims) removeLate(op *claimOp, row claimRow) {
	<-op.done
	if op.err == nil {
		c.remove(&claim{key: op.write.Key, version: op.version, row: row})
	}
}

// finish stores the outcome of a claim's request. It does not wait.
func (c *claims) finish(held *claim, state claimState, full string, answer *keptAnswer) {
	row := held.row
	row.State = state
	row.Full = full
	if answer != nil && answer.size() <= maxKeptAnswer {
		row.Answer = answer
	}
	c.server.metrics.claims.WithLabelValues(string(state)).Inc()
	c.submit(&claimOp{
		write:     infra.Write{Key: held.key, Value: ledger.Encode(row)},
		condition: infra.Condition{Key: held.key, Version: held.version},
		done:      make(chan struct{}),
	})
}

// remove deletes a claim whose request did not run. It does not wait.
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
	if c.stopped || len(c.pending) >= claimBacklog {
		return false
	}
	c.pending = append(c.pending, op)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// run commits pending changes until ctx ends, then writes what is left for at most claimFlushTime.
func (c *claims) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.wake:
			c.commitPending(ctx)
		}
	}
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimFlushTime)
	defer cancel()
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.commitPending(flush)
	c.failRest()
}

// failRest ends changes that could not be stored any more.
func (c *claims) failRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, op := range c.pending {
		op.err = context.Canceled
		close(op.done)
	}
	c.pending = nil
}

// commitPending commits until nothing is pending or ctx ends.
func (c *claims) commitPending(ctx context.Context) {
	retry := c.spacing()
	for ctx.Err() == nil {
		c.gather(ctx)
		c.limiter.SetLimit(rate.Every(c.spacing()))
		if c.limiter.Wait(ctx) != nil {
			return
		}
		batch := c.take()
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

// gather lets outcomes, for which nobody waits, go with the next new claim: it returns once a new claim is pending, or
// after one spacing.
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

// take removes the next batch from the pending changes. A row appears in a batch once only, because conditions are
// checked against the state before the transaction: two claims of one key would both hold.
func (c *claims) take() []*claimOp {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*claimOp
	keys := map[string]bool{}
	for _, op := range c.pending {
		switch {
		case op.create && op.ctx.Err() != nil:
			op.err = op.ctx.Err()
			close(op.done)
		case keys[op.write.Key] || len(batch) == claimBatch:
			rest = append(rest, op)
		default:
			keys[op.write.Key] = true
			batch = append(batch, op)
		}
	}
	c.pending = rest
	return batch
}

// commit writes a batch and ends or requeues its changes. It reports false if the table was unavailable.
func (c *claims) commit(ctx context.Context, batch []*claimOp) bool {
	version, err := c.transact(ctx, batch)
	var conflict *infra.ConflictError
	switch {
	case err == nil:
		c.noteAvailable(nil)
		c.settle(batch, version)
		return true
	case errors.As(err, &conflict):
		c.noteAvailable(nil)
		c.splitConflict(batch, conflict)
		return true
	default:
		c.noteAvailable(err)
		c.failCreates(batch, err)
		return false
	}
}

// transact commits a batch and settles an unknown outcome. Any error but a conflict means that nothing was written and
// nothing will be, or that ctx ended.
func (c *claims) transact(ctx context.Context, batch []*claimOp) (int64, error) {
	txn := infra.Txn{}
	for _, op := range batch {
		txn.Conditions = append(txn.Conditions, op.condition)
		txn.Writes = append(txn.Writes, op.write)
	}
	c.server.metrics.claimTxns.Inc()
	commitCtx, cancel := context.WithTimeout(ctx, claimCommitTime)
	defer cancel()
	version, err := c.writer.Commit(commitCtx, txn)
	if errors.Is(err, ledger.ErrUnresolved) {
		// The context of an earlier commit ended first. Its changes were ended or requeued, so its outcome shows in the
		// conditions of this one.
		if _, err := c.writer.Resolve(commitCtx); err != nil {
			return 0, err
		}
		version, err = c.writer.Commit(commitCtx, txn)
	}
	if !infra.IsUnknownOutcome(err) {
		return version, err
	}
	c.noteAvailable(err)
	return c.resolve(ctx, batch, err)
}

// resolve waits until the outcome of the last commit is known. New claims do not wait for it: they are refused, and
// removed if they turn out to be written.
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

// refuseCreates ends the new claims of a batch whose outcome is unknown and those that wait behind it.
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

// appliedVersion reads the version that an applied batch gave its rows. Nobody else changes rows of this process while
// it runs, except for the removal of expired ones.
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

// settle ends the changes of a batch that was written.
func (c *claims) settle(batch []*claimOp, version int64) {
	for _, op := range batch {
		if op.orphan {
			c.remove(&claim{key: op.write.Key, version: version})
			continue
		}
		op.version = version
		close(op.done)
	}
}

// splitConflict ends the changes whose own conditions failed and requeues the others.
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

// failCreates ends new claims, so that their requests are refused at once, and requeues outcomes.
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

// noteAvailable logs a change of the table's availability.
func (c *claims) noteAvailable(err error) {
	if failed := err != nil; failed != c.unavailable {
		c.unavailable = failed
		if failed {
			c.server.cfg.Log.WithError(err).Warn("table service is unavailable; keyed requests are refused")
		} else {
			c.server.cfg.Log.Info("table service is available again; keyed requests are taken")
		}
	}
}

// read returns the claim's row, or a row with version 0 if it is absent.
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

// vmListLag is how long an entry VM may be missing from the list although it runs.
const vmListLag = 5 * time.Second

// holderGone reports whether the process that claimed a row stores no outcome any more, as far as the VM list tells.
// waited is how long the holder's outcome has been waited for.
func (c *claims) holderGone(row claimRow, waited time.Duration) bool {
	s := c.server
	if row.Holder == s.cfg.VM {
		return row.Instance != s.instance
	}
	if waited > time.Duration(row.TimeoutMillis)*time.Millisecond+claimSlack {
		return true
	}
	view := s.view.Load()
	return waited > vmListLag && view.live != nil && !view.live[row.Holder]
}
