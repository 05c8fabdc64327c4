package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// Tables of the store. All rows of a cell except the index share a partition, so most commits touch one partition.
const (
	// TableCells holds the ownership row of each cell.
	TableCells = "cells"
	// TableJobs holds jobs as submitted. Its rows are never rewritten.
	TableJobs = "jobs"
	// TableProgress holds the mutable state of each job.
	TableProgress = "progress"
	// TableIndex maps each job to the name of its cell.
	TableIndex = "index"

	rowOwner = "owner"
)

const (
	// commitSpacing is the minimum time between commits, so that one commit covers several ended tasks.
	commitSpacing = 40 * time.Millisecond
	// renewInterval is how often an idle owner writes its ownership row.
	renewInterval = 1 * time.Second
	// commitRetry is the pause after a failed commit.
	commitRetry = 150 * time.Millisecond
	// unitRetention is how long the units of a finished job are kept, which commands that were sent for them may refer to.
	unitRetention = 15 * time.Second
	// expiryInterval is how often finished jobs are checked for removal.
	expiryInterval = 2 * time.Second
	// submissionTimeout is how long submissions wait for a store that refuses commits before they are refused.
	submissionTimeout = 600 * time.Millisecond
	// commitResponseTimeout is how long a commit may be without a response before the store counts as down. A store that
	// is 90 times slower than usual responds after 0.6 to 1.4 s.
	commitResponseTimeout = 1600 * time.Millisecond
)

// Ownership is the value of a cell's ownership row.
type Ownership struct {
	Node  string `json:"node"`
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch,omitempty"` // 0 until the first commit after the acquisition
	// Incarnation is that of the owner's process.
	Incarnation string `json:"inc,omitempty"`
	// Nonce identifies the commit that wrote the row, so that a commit without a response can be recognised later.
	Nonce string `json:"nonce"`
	// Terminated lists runners of the cell that are confirmed to run nothing: they do not respond, and their leases have
	// expired. The next owner need not wait for them.
	Terminated []string `json:"gone,omitempty"`
	// Released means that the owner released the cell and sends no more commands.
	Released bool `json:"released,omitempty"`
	// InheritedLeaseMs is how long after the write leases that earlier owners granted may last on runners that have not
	// responded to this owner, in milliseconds. The next owner waits at least as long for such runners.
	InheritedLeaseMs int64 `json:"inherited_ms,omitempty"`
	// LeasesMs is how long after the write leases may last on runners that do not respond, in milliseconds by ID. The next owner
	// need not wait longer for them, because this one extends none of these leases while the row lists it.
	LeasesMs map[string]int64 `json:"leases_ms,omitempty"`
	// LongLeasesMs is how long after the write leases may last that end later than those that this owner grants by the clock of a runner's
	// present process, in milliseconds by ID. The next owner waits at least as long for these runners.
	LongLeasesMs map[string]int64 `json:"long_leases_ms,omitempty"`
	// Fenced has, by ID, the start in milliseconds of Unix time of processes of restarted runners that execute no commands for earlier ones any more.
	// The next owner need not wait for leases that such commands might have granted.
	Fenced map[string]int64 `json:"fenced,omitempty"`
	// Closed has, by ID, the runners on which this owner starts nothing while the row lists them, with the units that may run there: unitKeyBytes
	// bytes for each unit (see keyOf) in base64 without padding, then, behind inventorySeparator, the same for the units that ClosedLeasesMs is
	// about. The next owner does not know what may run on the others.
	Closed map[string]string `json:"closed,omitempty"`
	// ClosedLeasesMs is how long after the write those units may run there, in milliseconds by ID. This owner does not extend these leases while
	// the row lists them. Without an entry, the end of the lease is not known.
	ClosedLeasesMs map[string]int64 `json:"closed_ms,omitempty"`
	// Jobs is the number of jobs that the cell stores as of the write; 0 if it is not known.
	Jobs int `json:"jobs,omitempty"`
	// LeaseCapMs is how long after the write leases that this owner grants may last, in milliseconds, unless one of Witnesses has
	// confirmed an outage of the store; 0 if there is no such bound, as in rows of earlier builds.
	LeaseCapMs int64 `json:"cap_ms,omitempty"`
	// Witnesses are the processes that may confirm an outage.
	Witnesses []Witness `json:"witnesses,omitempty"`
	// DurableSteps means that this owner, and all earlier ones whose leases may last, have begun no step before the ends of the steps before
	// it were durable, and that this one begins none unless a witness confirms an outage. Rows of earlier builds lack it.
	DurableSteps bool `json:"durable_steps,omitempty"`
	// Quota is the version up to which this owner, and each earlier one, applies the rows of table quota; 0 if no organisation has a cap, and
	// in rows of earlier builds.
	Quota int64 `json:"quota,omitempty"`
	// QuotaOver has the organisations whose runs in the cell may hold more than their limit, with what they hold at most.
	QuotaOver map[string]quota.Amounts `json:"quota_over,omitempty"`
}

const (
	// maxListedLeases bounds the entries of Ownership.LeasesMs. The next owner waits for whole leases of the others.
	maxListedLeases = 100
	// maxReleasedLeases replaces it in the last row of an owner.
	maxReleasedLeases = 1000
)

// silentLeases returns the value of Ownership.LeasesMs with at most the given number of entries. The caller holds mu.
func (c *Cell) silentLeases(now time.Time, limit int) map[string]int64 {
	leases := map[string]int64{}
	add := func(id string, end time.Time) {
		if len(leases) < limit {
			leases[id] = max(end.Sub(now).Milliseconds()+1, leases[id], 0)
		}
	}
	for id, x := range c.unresolved {
		if !x.responded {
			add(id, x.until)
		}
	}
	for id, rs := range c.runners {
		if _, unresolved := c.unresolved[id]; !unresolved && rs.pollFailing && !rs.leaseEnd.IsZero() && !rs.hasOpenStarts() {
			add(id, c.lastLeaseEnd(rs))
		}
	}
	return leases
}

// ownership returns the value of the ownership row. The caller holds mu.
func (c *Cell) ownership(now time.Time, nonce string) Ownership {
	o := Ownership{Node: c.cfg.Node, Addr: c.cfg.Addr, Incarnation: c.cfg.Incarnation, Epoch: c.epoch,
		Terminated: c.terminatedRunners(), Nonce: nonce, Jobs: c.census.rows}
	if c.awaitsRunners && !c.inheritedEnd.IsZero() {
		// Not all runners on which earlier owners may have granted leases are known yet.
		o.InheritedLeaseMs = c.inheritedEnd.Sub(now).Milliseconds() + 1
	}
	for _, x := range c.unresolved {
		until := x.until
		if until.After(c.inheritedEnd) {
			// Only this runner's lease lasts that long, and LongLeasesMs has it.
			until = c.inheritedEnd
		}
		o.InheritedLeaseMs = max(o.InheritedLeaseMs, until.Sub(now).Milliseconds()+1)
	}
	c.listQuota(&o)
	c.listLongLeases(now, &o)
	c.listFenced(now, &o)
	return o
}

// IsUnknown reports whether o names no owner.
func (o Ownership) IsUnknown() bool { return o.Node == "" }

// OwnerKey returns the key of a cell's ownership row.
func OwnerKey(part string) store.Key { return store.Key{Table: TableCells, Part: part, Name: rowOwner} }

func (c *Cell) key(table, name string) store.Key {
	return store.Key{Table: table, Part: c.cfg.Part, Name: name}
}

func (c *Cell) indexKey(id string) store.Key {
	return store.Key{Table: TableIndex, Part: c.cfg.IndexPart(id), Name: id}
}

// batch is one commit and the state changes that become durable with it.
type batch struct {
	txn         store.Txn
	nonce       string
	owner       Ownership
	submissions []*submission
	jobs        []batchJob
	processed   map[*runnerState]endMark
	expired     []*jobState
	// reappeared are runners that the batch's ownership row no longer lists as terminated.
	reappeared []*runnerState
	// silent has the runners that the batch's ownership row lists in LeasesMs or ClosedLeasesMs.
	silent map[string]bool
	// closed has the runners that the batch's ownership row lists in Closed.
	closed map[string]string
}

// endMark is the number of the last end of a runner's process, started at born, that was applied to the jobs' state.
type endMark struct {
	born   int64
	number int64
}

// batchJob is a job whose progress is written by a batch.
type batchJob struct {
	job     *jobState
	state   workload.State
	waiters []chan struct{}
	// planned are runs of which the batch makes the assignment durable.
	planned []*run
	// offered are delegations that the batch makes durable, and transfers those that it decides.
	offered   []*delegation
	transfers []*transfer
	// returned are units that the batch makes durable as returned to their origin.
	returned []*unit
	// doneSteps are the steps of which the batch makes durable that they are done.
	doneSteps []*stepState
	// newOccs are the occurrences of which the batch makes durable that they were created.
	newOccs []*occurrence
}

// flushLoop is the only writer of the cell's rows. It has one commit in flight and repeats a commit without a response
// until its outcome is known. It does not abort a commit in flight when the cell stops, because the cell can't be
// released while that outcome is unknown.
func (c *Cell) flushLoop(ctx context.Context) {
	last := time.Time{}
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.flushLast()
			return
		case <-c.flushWake:
		case <-timer.C:
		}
		c.mu.Lock()
		urgent := c.urgent
		c.mu.Unlock()
		if spacing := commitSpacing - time.Since(last); !urgent && spacing > 0 {
			if !c.waitSpacing(ctx, spacing) {
				c.flushLast()
				return
			}
		}
		last = time.Now()
		c.flush(ctx)
		timer.Reset(renewInterval)
	}
}

// waitSpacing waits until the next commit is due or becomes urgent. It returns false if ctx ended.
func (c *Cell) waitSpacing(ctx context.Context, spacing time.Duration) bool {
	deadline := time.Now().Add(spacing)
	for {
		left := time.Until(deadline)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !wait.ForSignal(ctx, left, c.flushWake) {
			return false
		}
		c.mu.Lock()
		urgent := c.urgent
		c.mu.Unlock()
		if urgent {
			return true
		}
	}
}

// maxTerminatedBytes bounds the IDs of terminated runners in the ownership row, which is part of each commit.
const maxTerminatedBytes = 16 << 10

// terminatedRunners returns the sorted IDs of runners that are confirmed to run nothing, up to maxTerminatedBytes. A runner
// that is left out makes a successor wait for its lease. Runners that this owner still polls are left out first: the
// successor may know their properties and reach them, so fewer tasks wait for them, and for less time. The caller holds mu.
func (c *Cell) terminatedRunners() []string {
	var unlisted, polled []string
	for id := range c.terminated {
		if c.runners[id] == nil {
			unlisted = append(unlisted, id)
		} else {
			polled = append(polled, id)
		}
	}
	slices.Sort(unlisted)
	slices.Sort(polled)
	terminated := boundTerminated(append(unlisted, polled...))
	slices.Sort(terminated)
	return terminated
}

// boundTerminated returns the first IDs of a list, up to maxTerminatedBytes.
func boundTerminated(ids []string) []string {
	size := 0
	for i, id := range ids {
		if size += encodedSize(id); size > maxTerminatedBytes {
			return ids[:i]
		}
	}
	return ids
}

// encodedSize returns the largest number of bytes that a string and a comma can have in JSON.
func encodedSize(s string) int {
	size := len(`"",`)
	for i := range len(s) {
		if b := s[i]; b < ' ' || b > '~' || strings.IndexByte(`"\\<>&`, b) >= 0 {
			size += len(`\u0000`)
		} else {
			size++
		}
	}
	return size
}

// lastFlushTimeout bounds the final commits of a cell that is released.
const lastFlushTimeout = 2500 * time.Millisecond

// flushLast writes unsaved state and then marks the cell as released.
func (c *Cell) flushLast() {
	c.mu.Lock()
	lost := c.lost
	c.releasing = true
	c.mu.Unlock()
	if lost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastFlushTimeout)
	defer cancel()
	c.flush(ctx)
	c.mu.Lock()
	released := c.ownership(time.Now(), "released")
	released.Released, released.LeasesMs = true, c.silentLeases(time.Now(), maxReleasedLeases)
	released.DurableSteps = c.begunDurably()
	c.listInventories(time.Now(), &released)
	value, err := json.Marshal(released)
	txn := store.Txn{
		Conditions: []store.Condition{{Key: OwnerKey(c.cfg.Part), Version: c.ownerVersion}},
		Writes:     []store.Write{{Key: OwnerKey(c.cfg.Part), Value: value}},
	}
	c.lost = true
	c.mu.Unlock()
	if err == nil {
		_, err = c.cfg.Store.Commit(ctx, txn)
	}
	fields := logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch}
	if err != nil {
		c.cfg.Log.WithFields(fields).WithField("error", err.Error()).Warn("release of the cell is not confirmed")
		return
	}
	c.cfg.Log.WithFields(fields).Info("released the cell")
}

// flush commits all pending changes, in as many commits as needed.
func (c *Cell) flush(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		b, more := c.buildBatch(time.Now())
		c.mu.Unlock()
		if !c.commit(ctx, b) || !more {
			return
		}
	}
}

func (c *Cell) encodeOwner(owner *Ownership) []byte {
	value, err := json.Marshal(owner)
	if err != nil {
		c.cfg.Log.WithError(err).Error("ownership row can't be encoded")
	}
	return value
}

// newBatch returns a batch that writes the ownership row only. The caller holds mu.
func (c *Cell) newBatch(now time.Time) *batch {
	b := &batch{nonce: c.cfg.Node + "/" + strconv.FormatInt(now.UnixNano(), 36), processed: map[*runnerState]endMark{}}
	b.owner = c.ownership(now, b.nonce)
	b.owner.LeasesMs = c.silentLeases(now, maxListedLeases)
	c.listWitnesses(&b.owner)
	c.listSteps(&b.owner)
	c.listInventories(now, &b.owner)
	b.closed, b.silent = b.owner.Closed, map[string]bool{}
	for id := range b.owner.LeasesMs {
		b.silent[id] = true
	}
	for id := range b.owner.ClosedLeasesMs {
		b.silent[id] = true
	}
	for id := range b.silent {
		c.listedSilent[id] = true
	}
	c.listClosed(b.closed)
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: OwnerKey(c.cfg.Part), Version: c.ownerVersion})
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: OwnerKey(c.cfg.Part), Value: c.encodeOwner(&b.owner)})
	for _, rs := range c.runners {
		if rs.listedTerminated && !c.terminated[rs.info.ID] {
			b.reappeared = append(b.reappeared, rs)
		}
	}
	return b
}

// buildBatch takes pending changes, up to about the size of a transaction: the bytes are checked before each addition. A
// submission adds up to 4 entries (a condition, the index row, the job row and the deletion of a record of cancellations), a progress row 1 and up to 2 for each transfer,
// and an expired job 3 deletions. The caller holds mu.
func (c *Cell) buildBatch(now time.Time) (b *batch, more bool) {
	c.urgent = false
	b = c.newBatch(now)
	size := 0
	rest := c.submissions[:0:0]
	for _, s := range c.submissions {
		if b.txn.Entries()+4 > store.MaxTxnEntries || size > store.MaxTxnBytes {
			rest = append(rest, s)
			continue
		}
		size += c.addSubmission(b, s)
	}
	// From here on the submissions are in one of the two lists until they are decided, so that their demand counts.
	c.submissions, c.committing = rest, b.submissions
	for j := range c.dirty {
		if c.jobs[j.def.ID] != j {
			// It was to be taken over from another cell, which has taken it back.
			delete(c.dirty, j)
			delete(c.steps.early, j)
			for _, w := range j.durableWaiters {
				close(w)
			}
			j.durableWaiters = nil
			continue
		}
		if c.isWithheld(now, j) {
			continue
		}
		if b.txn.Entries()+1+2*len(j.transfers) > store.MaxTxnEntries || size > store.MaxTxnBytes {
			more = true
			break
		}
		size += c.addProgress(now, b, j)
	}
	if !more {
		c.addPressure(now, b)
	}
	for _, j := range c.expired(now) {
		if b.txn.Entries()+3 > store.MaxTxnEntries || more {
			break
		}
		c.addExpired(b, j)
	}
	if !more {
		// Ends are durable only if this or an earlier commit contains all jobs that they changed.
		for _, rs := range c.runners {
			b.processed[rs] = endMark{rs.born, c.durableEnds(rs)}
		}
	}
	return b, more || len(rest) > 0
}

// retentionFactor extends Config.Retention, so that a job's state is kept longer than clients may query it.
const retentionFactor = 1.5

// retention returns how long rows are kept that clients may ask about.
func (c *Cell) retention() time.Duration {
	return time.Duration(retentionFactor * float64(c.cfg.Retention))
}

// expired returns finished jobs whose retention has passed, and drops the units of the others. The caller holds mu.
func (c *Cell) expired(now time.Time) []*jobState {
	if now.Sub(c.expiryCheckedAt) < expiryInterval {
		return nil
	}
	c.expiryCheckedAt = now
	var expired []*jobState
	retention := c.retention()
	for _, j := range c.jobs {
		ended := now.Sub(j.finishedAt)
		if !j.durableState.Terminal() || j.dirty || ended <= unitRetention || j.hasRuns() || len(j.hosts) > 0 {
			continue
		}
		if ended > retention {
			expired = append(expired, j)
		} else if len(j.transfers) == 0 {
			j.dropUnits()
		}
	}
	return expired
}

func (c *Cell) addSubmission(b *batch, s *submission) int {
	if s.finished {
		return 0
	}
	if j := c.jobs[s.job.ID]; j != nil {
		// A repeated submission arrived while the commit of the job was in flight. Its condition would make this commit
		// fail.
		s.finish(repeatedOutcome(j, s.job), "")
		return 0
	}
	value, err := json.Marshal(s.job)
	if err == nil {
		err = checkRowSize(value)
	}
	if err != nil {
		c.cfg.Log.WithField("request", s.job.ID).WithError(err).Error("job can't be stored")
		s.finish(OutcomeRefused, "")
		return 0
	}
	c.addSubmissionRows(b, s, value)
	return len(value)
}

// repeatedOutcome returns the outcome of a submission of a job that the cell has.
func repeatedOutcome(j *jobState, submitted *workload.Job) Outcome {
	if !j.def.BelongsTo(submitted.Organisation) {
		return OutcomeConflict
	}
	return OutcomeAccepted
}

// finishIndexed decides a submission of a job for which the index names this cell. If the cell does not have the job, only its row says
// which organisation it belongs to. The caller holds mu.
func (c *Cell) finishIndexed(s *submission) {
	switch j := c.jobs[s.job.ID]; {
	case j != nil:
		s.finish(repeatedOutcome(j, s.job), "")
	case s.job.Organisation != "":
		s.finish(OutcomeElsewhere, c.cfg.Name)
	default:
		s.finish(OutcomeAccepted, "")
	}
}

func (c *Cell) addSubmissionRows(b *batch, s *submission, value []byte) {
	b.submissions = append(b.submissions, s)
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: c.indexKey(s.job.ID), Version: s.replaces})
	b.txn.Writes = append(b.txn.Writes,
		store.Write{Key: c.indexKey(s.job.ID), Value: []byte(c.cfg.Name)},
		store.Write{Key: c.key(TableJobs, s.job.ID), Value: value})
	if s.replaces != 0 {
		b.txn.Deletes = append(b.txn.Deletes, store.Key{Table: TableCancelled, Part: c.cfg.IndexPart(s.job.ID), Name: s.job.ID})
	}
}

func (c *Cell) addExpired(b *batch, j *jobState) {
	b.expired = append(b.expired, j)
	b.txn.Deletes = append(b.txn.Deletes, c.key(TableJobs, j.def.ID), c.key(TableProgress, j.def.ID))
	if j.origin == "" {
		b.txn.Deletes = append(b.txn.Deletes, c.indexKey(j.def.ID))
	}
}

func (c *Cell) addProgress(now time.Time, b *batch, j *jobState) int {
	omittedBefore := j.checkpointsOmitted
	value, err := encodeProgress(j)
	if err == nil {
		err = checkRowSize(value)
	}
	if err != nil {
		c.withhold(now, j, err)
		return 0
	}
	delete(c.withheld, j)
	delete(c.dirty, j)
	j.dirty = false
	if j.checkpointsOmitted && !omittedBefore {
		c.cfg.Log.WithField("request", j.def.ID).Warn("progress is stored without checkpoints, with which it is too large for a row")
	}
	c.addProgressRow(b, batchJob{job: j, state: j.state, waiters: j.durableWaiters, planned: j.plannedRuns(),
		offered: j.markedDelegations(), transfers: slices.Clone(j.transfers), returned: j.returnedUnits(), doneSteps: j.doneSteps(), newOccs: j.newOccs()}, value)
	j.durableWaiters = nil
	return len(value)
}

func (c *Cell) addProgressRow(b *batch, bj batchJob, value []byte) {
	b.jobs = append(b.jobs, bj)
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: c.key(TableProgress, bj.job.def.ID), Value: value})
	for _, t := range bj.transfers {
		b.txn.Conditions = append(b.txn.Conditions, t.condition)
		if t.jobRow != nil {
			b.txn.Writes = append(b.txn.Writes, store.Write{Key: c.key(TableJobs, bj.job.def.ID), Value: t.jobRow})
		}
	}
}

// commit applies a batch and reports whether it succeeded. A commit with unknown outcome is repeated unchanged: its
// condition on the ownership row lets at most one attempt succeed, and the row's nonce shows whether one did. What the store
// refuses at each attempt is left out.
func (c *Cell) commit(ctx context.Context, b *batch) bool {
	started, suspendedAtStart := time.Now(), c.cfg.suspended()
	c.recordCommitSent(started, b)
	unknown := false
	for {
		sent, suspended := time.Now(), c.cfg.suspended()
		version, err := c.attemptCommit(ctx, b.txn)
		c.cfg.Metrics.commits.Inc()
		c.cfg.Metrics.commitTime.Observe(time.Since(sent).Seconds())
		if err == nil {
			c.applyCommit(ctx, sent, suspended, version, b)
			return true
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return c.handleConflict(ctx, started, suspendedAtStart, b, conflict)
		}
		if errors.Is(err, store.ErrInvalidTxn) {
			if unknown && len(b.submissions) > 0 {
				// An earlier attempt may still be applied.
				c.finishSubmissions(b, OutcomeUnknown)
				return c.commit(ctx, c.takePart(b, b.items()))
			}
			return c.commitParts(ctx, b, err)
		}
		c.reportStoreLost(time.Now(), started)
		if errors.Is(err, store.ErrUnavailable) && !unknown {
			if time.Since(started) > submissionTimeout {
				// No attempt was applied, so the batch can be split up. The next batch also includes newer changes.
				c.finishSubmissions(b, OutcomeRefused)
				c.markStoreDown("the store refuses commits")
				c.requeue(b)
				return false
			}
		} else {
			unknown = true
		}
		if !wait.For(ctx, commitRetry) {
			if unknown {
				// If the next commit is refused, the outcome of this one is still unknown.
				c.finishSubmissions(b, OutcomeUnknown)
			}
			c.requeue(b)
			return false
		}
	}
}

// recordCommitSent records the commit in flight, and in its ownership row the number of jobs that are stored then.
func (c *Cell) recordCommitSent(now time.Time, b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commitSentAt, c.committing = now, b.submissions
	if jobs := c.storedJobs(b); jobs != b.owner.Jobs {
		b.owner.Jobs = jobs
		b.txn.Writes[0].Value = c.encodeOwner(&b.owner)
	}
}

func (c *Cell) markStoreDown(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStoreDown(true, why)
}

// setStoreDown records whether the store accepts commits. While it does not, submissions are refused immediately,
// except those of a commit whose outcome is unknown. The caller holds mu.
func (c *Cell) setStoreDown(down bool, why string) {
	if down != c.storeDown {
		c.storeDown = down
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "down": down, "why": why, "waiting": len(c.submissions)}).
			Warn("store availability for submissions changed")
	}
	if !down {
		return
	}
	for _, s := range c.submissions {
		s.finish(OutcomeRefused, "")
	}
	c.submissions = nil
}

// checkStore marks the store as down if a commit has had no response for too long. The caller holds mu.
func (c *Cell) checkStore(now time.Time) {
	if !c.commitSentAt.IsZero() && now.Sub(c.commitSentAt) > commitResponseTimeout {
		c.setStoreDown(true, "a commit has no answer")
		c.reportStoreLostLocked(now, c.commitSentAt)
	}
}

// finishSubmissions gives all submissions of a batch the same outcome and removes them from it.
func (c *Cell) finishSubmissions(b *batch, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range b.submissions {
		s.finish(outcome, "")
	}
	b.submissions = nil
}

// requeue returns the contents of a failed batch to the pending changes.
func (c *Cell) requeue(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range b.submissions {
		switch other := c.waitingSubmission(s.job.ID); {
		case s.finished:
		case other != nil && other != s:
			// The job was submitted again while a batch was split up. A transaction must not hold it twice.
			s.finish(OutcomeUnknown, "")
		default:
			c.submissions = append(c.submissions, s)
		}
	}
	for _, bj := range b.jobs {
		bj.job.durableWaiters = append(bj.job.durableWaiters, bj.waiters...)
		bj.job.dirty = true
		c.dirty[bj.job] = true
	}
	wake(c.flushWake)
}

// applyCommit applies the state changes that became durable with a batch. sent is when the commit was sent, and suspended is for how
// long the VM had been suspended then.
func (c *Cell) applyCommit(ctx context.Context, sent time.Time, suspended time.Duration, version int64, b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownerVersion = version
	c.census.rows = b.owner.Jobs
	c.lastCommit, c.suspendedAtCommit = sent, suspended
	c.recordWitnesses(&b.owner)
	c.recordSteps(b)
	c.commitSentAt, c.committing = time.Time{}, nil
	c.setStoreDown(false, "a commit was applied")
	now := time.Now()
	for _, s := range b.submissions {
		c.accept(now, s.job)
		s.finish(OutcomeAccepted, "")
	}
	for _, bj := range b.jobs {
		if bj.state.Terminal() {
			bj.job.durableState = bj.state
		}
		bj.job.rowVersion = version
		for _, w := range bj.waiters {
			close(w)
		}
		c.applyTransfers(now, bj)
		c.applyReturns(bj)
		for _, r := range bj.planned {
			c.startPlanned(ctx, now, r)
		}
	}
	c.offerDelegations(ctx, b)
	c.applyProof(now)
	for _, rs := range b.reappeared {
		rs.listedTerminated = c.terminated[rs.info.ID]
		wake(c.planWake)
	}
	for id := range c.listedSilent {
		if _, listed := b.silent[id]; !listed {
			delete(c.listedSilent, id)
			wake(c.planWake)
		}
	}
	c.unlistClosed(b.closed)
	for _, j := range b.expired {
		c.removeJob(j)
	}
	for rs, mark := range b.processed {
		// The end numbers of a restarted runner start again.
		if rs.born == mark.born {
			rs.acked = mark.number
		}
	}
}

// handleConflict handles a commit whose condition did not hold. It returns true if an earlier attempt had been applied,
// so that the batch is durable. sent is when the first attempt was sent: a successor counts the leases of this owner from the write,
// and which attempt wrote is not known.
func (c *Cell) handleConflict(ctx context.Context, sent time.Time, suspended time.Duration, b *batch, conflict *store.ConflictError) bool {
	row := conflict.Row(OwnerKey(c.cfg.Part))
	var owner Ownership
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &owner); err != nil {
			c.cfg.Log.WithError(err).Error("ownership row can't be read")
		}
	}
	if row.Version != 0 && owner.Nonce == b.nonce {
		c.applyCommit(ctx, sent, suspended, row.Version, b)
		return true
	}
	c.mu.Lock()
	c.commitSentAt, c.committing = time.Time{}, nil
	ours := row.Version == c.ownerVersion
	if !ours {
		for _, s := range b.submissions {
			s.finish(OutcomeUnknown, "")
		}
		c.loseOwnership("ownership row was written by " + owner.Node)
		c.mu.Unlock()
		return false
	}
	kept := b.submissions[:0]
	for _, s := range b.submissions {
		index := conflict.Row(c.indexKey(s.job.ID))
		switch {
		case index.Version == 0, IsCancelled(index.Value) && !isCancelledFor(index.Value, s.job.Organisation):
			s.replaces = index.Version
			kept = append(kept, s)
		case IsCancelled(index.Value):
			c.cfg.Log.WithFields(logrus.Fields{"request": s.job.ID, "queue": s.job.Policy.Queue}).Info("job was cancelled before it was accepted")
			s.finish(OutcomeCancelled, "")
		case string(index.Value) == c.cfg.Name:
			c.countIndexed(s.job.ID)
			c.finishIndexed(s)
		default:
			s.finish(OutcomeElsewhere, string(index.Value))
		}
	}
	b.submissions = kept
	for _, bj := range b.jobs {
		for _, t := range bj.transfers {
			if conflict.Row(t.condition.Key).Version != t.condition.Version {
				c.abandonTransfer(bj.job, t)
			}
		}
	}
	c.urgent = true
	c.mu.Unlock()
	c.requeue(b)
	return false
}
