package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// Tables of the system. Rows of one cell share a partition, so that a commit needs one.
const (
	// TableCells holds the ownership row of each cell.
	TableCells = "cells"
	// TableJobs holds jobs as submitted; they are never rewritten.
	TableJobs = "jobs"
	// TableProgress holds what changes of a job.
	TableProgress = "progress"
	// TableIndex holds, for each job, the name of its cell.
	TableIndex = "index"

	rowOwner = "owner"
)

const (
	// commitSpacing groups ends of tasks into one commit.
	commitSpacing = 40 * time.Millisecond
	// renewInterval is how often an idle owner writes its ownership row.
	renewInterval = 1 * time.Second
	// commitRetry is the pause after a commit that failed.
	commitRetry = 150 * time.Millisecond
	// expiryInterval is how often finished jobs are looked at for removal.
	expiryInterval = 2 * time.Second
	// submissionPatience is how long submissions wait for a store that refuses before they are refused.
	submissionPatience = 600 * time.Millisecond
	// silencePatience is how long a commit may be without an answer before the store counts as down. A store that is 90
	// times slower than usual answers after 0.6 to 1.4 s.
	silencePatience = 1600 * time.Millisecond
)

// Ownership is the value of a cell's ownership row.
type Ownership struct {
	Node  string `json:"node"`
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch,omitempty"`
	// Incarnation is that of the owner's process.
	Incarnation string `json:"inc,omitempty"`
	// Nonce identifies the commit that wrote the row, so that a commit without an answer can be recognised.
	Nonce string `json:"nonce"`
	// Gone are runners of the cell that surely run nothing; the next owner need not wait for them.
	Gone []string `json:"gone,omitempty"`
	// Released means that the owner handed the cell back and sends nothing any more.
	Released bool `json:"released,omitempty"`
}

// OwnerKey returns the key of a cell's ownership row.
func OwnerKey(part string) store.Key { return store.Key{Table: TableCells, Part: part, Name: rowOwner} }

func (c *Cell) key(table, name string) store.Key {
	return store.Key{Table: table, Part: c.cfg.Part, Name: name}
}

func (c *Cell) indexKey(id string) store.Key {
	return store.Key{Table: TableIndex, Part: c.cfg.IndexPart(id), Name: id}
}

// batch is one commit and what becomes true with it.
type batch struct {
	txn         store.Txn
	nonce       string
	submissions []*submission
	jobs        []batchJob
	processed   map[*host]int64
	expired     []*jobState
	// returned are runners that the batch's ownership row no longer names as gone.
	returned []*host
}

// batchJob is a job whose progress a batch writes.
type batchJob struct {
	job     *jobState
	state   workload.State
	waiting []chan struct{}
}

// flushLoop is the only writer of the cell's rows. It has one commit in flight and repeats a commit without an answer
// until its outcome is known. A commit in flight is not broken off when the cell stops: if its outcome stayed unknown,
// the cell could not be released.
func (c *Cell) flushLoop(ctx context.Context) {
	last := time.Time{}
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.flushLast()
			return
		case <-c.flushKick:
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

// waitSpacing waits until the next commit is due, or one is urgent.
func (c *Cell) waitSpacing(ctx context.Context, spacing time.Duration) bool {
	deadline := time.Now().Add(spacing)
	for {
		left := time.Until(deadline)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !wait.ForSignal(ctx, left, c.flushKick) {
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

// goneRunners returns the runners that surely run nothing. The caller holds mu.
func (c *Cell) goneRunners() []string {
	gone := make([]string, 0, len(c.gone))
	for id := range c.gone {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return gone
}

// lastFlushTimeout bounds the final commit of a cell that is handed over.
const lastFlushTimeout = 2500 * time.Millisecond

// flushLast writes what is not yet durable, and that the cell is free.
func (c *Cell) flushLast() {
	c.mu.Lock()
	lost := c.lost
	c.mu.Unlock()
	if lost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastFlushTimeout)
	defer cancel()
	c.flush(ctx)
	c.mu.Lock()
	value, err := json.Marshal(Ownership{Node: c.cfg.Node, Addr: c.cfg.Addr, Incarnation: c.cfg.Incarnation, Epoch: c.epoch, Gone: c.goneRunners(), Nonce: "released", Released: true})
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
		c.cfg.Log.WithFields(fields).WithField("error", err.Error()).Warn("cell was not released")
		return
	}
	c.cfg.Log.WithFields(fields).Info("released the cell")
}

// flush commits everything that waits, in as many commits as it takes.
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

// buildBatch takes what waits, up to the size of a transaction. The caller holds mu.
func (c *Cell) buildBatch(now time.Time) (b *batch, more bool) {
	c.urgent = false
	b = &batch{nonce: c.cfg.Node + "/" + strconv.FormatInt(now.UnixNano(), 36), processed: map[*host]int64{}}
	owner, err := json.Marshal(Ownership{Node: c.cfg.Node, Addr: c.cfg.Addr, Incarnation: c.cfg.Incarnation, Epoch: c.epoch, Gone: c.goneRunners(), Nonce: b.nonce})
	if err != nil {
		c.cfg.Log.WithError(err).Error("ownership row can't be encoded")
	}
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: OwnerKey(c.cfg.Part), Version: c.ownerVersion})
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: OwnerKey(c.cfg.Part), Value: owner})
	for _, h := range c.runners {
		if h.namedGone {
			b.returned = append(b.returned, h)
		}
	}
	size := 0
	rest := c.submissions[:0:0]
	for _, s := range c.submissions {
		if b.txn.Entries()+3 > store.MaxTxnEntries || size > store.MaxTxnBytes {
			rest = append(rest, s)
			continue
		}
		size += c.addSubmission(b, s)
	}
	c.submissions = rest
	for j := range c.dirty {
		if b.txn.Entries()+1 > store.MaxTxnEntries || size > store.MaxTxnBytes {
			more = true
			break
		}
		size += c.addProgress(b, j)
	}
	for _, j := range c.expired(now) {
		if b.txn.Entries()+3 > store.MaxTxnEntries || more {
			break
		}
		b.expired = append(b.expired, j)
		b.txn.Deletes = append(b.txn.Deletes, c.indexKey(j.def.ID), c.key(TableJobs, j.def.ID), c.key(TableProgress, j.def.ID))
	}
	if !more {
		// Ends are durable only if all jobs that they changed are part of this or an earlier commit.
		for _, h := range c.runners {
			b.processed[h] = h.processed
		}
	}
	return b, more || len(rest) > 0
}

// retentionFactor keeps the state of a finished job longer than clients may ask for it.
const retentionFactor = 1.5

// expired returns finished jobs whose state nobody may ask for any more. The caller holds mu.
func (c *Cell) expired(now time.Time) []*jobState {
	if now.Sub(c.expiredAt) < expiryInterval {
		return nil
	}
	c.expiredAt = now
	var expired []*jobState
	retention := time.Duration(retentionFactor * float64(c.cfg.Retention))
	for _, j := range c.jobs {
		if j.shown.Terminal() && !j.dirty && now.Sub(j.finishedAt) > retention && !j.hasRuns() {
			expired = append(expired, j)
		}
	}
	return expired
}

func (c *Cell) addSubmission(b *batch, s *submission) int {
	if s.finished {
		return 0
	}
	if c.jobs[s.job.ID] != nil {
		// A repeat that came while the commit with the job was in flight. Its condition would make this commit fail.
		s.finish(OutcomeAccepted, "")
		return 0
	}
	value, err := json.Marshal(s.job)
	if err != nil {
		c.cfg.Log.WithField("request", s.job.ID).WithError(err).Error("job can't be encoded")
		s.finish(OutcomeRefused, "")
		return 0
	}
	b.submissions = append(b.submissions, s)
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: c.indexKey(s.job.ID)})
	b.txn.Writes = append(b.txn.Writes,
		store.Write{Key: c.indexKey(s.job.ID), Value: []byte(c.cfg.Name)},
		store.Write{Key: c.key(TableJobs, s.job.ID), Value: value})
	return len(value)
}

func (c *Cell) addProgress(b *batch, j *jobState) int {
	delete(c.dirty, j)
	j.dirty = false
	value, err := encodeProgress(j)
	if err != nil {
		c.cfg.Log.WithField("request", j.def.ID).WithError(err).Error("progress can't be encoded")
		return 0
	}
	b.jobs = append(b.jobs, batchJob{job: j, state: j.state, waiting: j.waiting})
	j.waiting = nil
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: c.key(TableProgress, j.def.ID), Value: value})
	return len(value)
}

// commit applies a batch and reports whether it did. It repeats a commit whose outcome is unknown unchanged: its
// condition on the ownership row holds for at most one of the repeats, and the row's nonce tells whether one did.
func (c *Cell) commit(ctx context.Context, b *batch) bool {
	started := time.Now()
	c.noteSent(started, b)
	unknown := false
	for {
		sent := time.Now()
		version, err := c.cfg.Store.Commit(context.WithoutCancel(ctx), b.txn)
		c.cfg.Metrics.commits.Inc()
		c.cfg.Metrics.commitTime.Observe(time.Since(sent).Seconds())
		if err == nil {
			c.committed(sent, version, b)
			return true
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return c.conflicted(sent, b, conflict)
		}
		if errors.Is(err, store.ErrUnavailable) && !unknown {
			if time.Since(started) > submissionPatience {
				// No try was applied, so the batch may be taken apart; the next one holds what came since.
				c.decideSubmissions(b, OutcomeRefused)
				c.noteDown("the store refuses commits")
				c.requeue(b)
				return false
			}
		} else {
			unknown = true
		}
		if !wait.For(ctx, commitRetry) {
			if unknown {
				// The next commit may be refused, which says nothing about this one.
				c.decideSubmissions(b, OutcomeUnknown)
			}
			c.requeue(b)
			return false
		}
	}
}

// noteSent notes the commit in flight.
func (c *Cell) noteSent(now time.Time, b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAt, c.committing = now, b.submissions
}

func (c *Cell) noteDown(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStoreDown(true, why)
}

// setStoreDown notes whether the store takes commits. While it does not, jobs are refused at once, but for those of a
// commit whose outcome is unknown. The caller holds mu.
func (c *Cell) setStoreDown(down bool, why string) {
	if down != c.storeDown {
		c.storeDown = down
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "down": down, "why": why, "waiting": len(c.submissions)}).
			Warn("store changed for hand-ins")
	}
	if !down {
		return
	}
	for _, s := range c.submissions {
		s.finish(OutcomeRefused, "")
	}
	c.submissions = nil
}

// checkStore notices a commit without an answer. The caller holds mu.
func (c *Cell) checkStore(now time.Time) {
	if !c.sentAt.IsZero() && now.Sub(c.sentAt) > silencePatience {
		c.setStoreDown(true, "a commit has no answer")
	}
}

// decideSubmissions ends the wait of the jobs of a batch that is given up.
func (c *Cell) decideSubmissions(b *batch, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range b.submissions {
		s.finish(outcome, "")
	}
	b.submissions = nil
}

// requeue gives back what a batch took.
func (c *Cell) requeue(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range b.submissions {
		if !s.finished {
			c.submissions = append(c.submissions, s)
		}
	}
	for _, bj := range b.jobs {
		bj.job.waiting = append(bj.job.waiting, bj.waiting...)
		bj.job.dirty = true
		c.dirty[bj.job] = true
	}
	kick(c.flushKick)
}

// committed makes true what became durable with a batch.
func (c *Cell) committed(sent time.Time, version int64, b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownerVersion = version
	c.lastCommit = sent
	c.sentAt, c.committing = time.Time{}, nil
	c.setStoreDown(false, "a commit was applied")
	now := time.Now()
	for _, s := range b.submissions {
		c.accept(now, s.job)
		s.finish(OutcomeAccepted, "")
	}
	for _, bj := range b.jobs {
		if bj.state.Terminal() {
			bj.job.shown = bj.state
		}
		for _, w := range bj.waiting {
			close(w)
		}
	}
	for _, h := range b.returned {
		h.namedGone = false
		kick(c.planKick)
	}
	for _, j := range b.expired {
		delete(c.jobs, j.def.ID)
	}
	for h, processed := range b.processed {
		if h.processed >= processed {
			h.acked = processed
		}
	}
}

// conflicted handles a commit whose condition did not hold and reports whether the batch is durable nevertheless.
func (c *Cell) conflicted(sent time.Time, b *batch, conflict *store.ConflictError) bool {
	row := conflict.Row(OwnerKey(c.cfg.Part))
	var owner Ownership
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &owner); err != nil {
			c.cfg.Log.WithError(err).Error("ownership row can't be read")
		}
	}
	if row.Version != 0 && owner.Nonce == b.nonce {
		c.committed(sent, row.Version, b)
		return true
	}
	c.mu.Lock()
	c.sentAt, c.committing = time.Time{}, nil
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
		case index.Version == 0:
			kept = append(kept, s)
		case string(index.Value) == c.cfg.Name:
			s.finish(OutcomeAccepted, "")
		default:
			s.finish(OutcomeElsewhere, string(index.Value))
		}
	}
	b.submissions = kept
	c.urgent = true
	c.mu.Unlock()
	c.requeue(b)
	return false
}
