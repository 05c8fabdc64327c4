package store

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"
)

const (
	// maxMarks bounds the bounds of each kind that a VersionClock keeps. With 50 calls a second they cover 20 s.
	maxMarks = 1024
	// answerDue is how long a call may be without a response, beyond the time that it asked to wait, until the store counts as
	// not responding.
	answerDue = 700 * time.Millisecond
)

// VersionClock is a store that tells when its versions were given out, from the responses to this process. Versions come from one
// counter of the whole store that rises with each transaction, so the response to any call dates all tables. It is safe for
// concurrent use.
//
// Not before: a commit that returned version V took V after it was sent, so a version above V was given out after that. Only commits
// give such a bound. A read may return a state that is seconds old, and a version above the one that it returned may have been given
// out before it was sent.
//
// Not after: a version was given out before this process received any response that names it or a higher one. An old read names a
// lower version, and so bounds fewer versions, but none wrongly.
//
// When a transaction becomes visible after its version was given out does not matter for either.
type VersionClock struct {
	Store
	// suspended returns for how long the VM has been suspended, which the steady clock does not count.
	suspended func() time.Duration

	mu sync.Mutex // guards the fields below
	// sent has a commit's version and when it was sent. A version above it was given out after that. received has the newest
	// version of a response and when it was received. It and lower ones were given out before that. Both rise in version and in time.
	sent, received []versionMark
	// failedAt is when a call last failed or was refused.
	failedAt moment
	// pending has when the response to each call in flight is due.
	pending map[*pendingCall]struct{}
}

// moment is a time and for how long the VM had been suspended then.
type moment struct {
	at        time.Time
	suspended time.Duration
}

// since returns the time from another moment to this one, including suspensions.
func (m moment) since(other moment) time.Duration {
	return m.at.Sub(other.at) + m.suspended - other.suspended
}

type versionMark struct {
	version int64
	moment  moment
}

type pendingCall struct{ due time.Time }

// NewVersionClock returns a version clock of a store. suspended returns for how long the VM has been suspended.
func NewVersionClock(s Store, suspended func() time.Duration) *VersionClock {
	return &VersionClock{Store: s, suspended: suspended, pending: map[*pendingCall]struct{}{}}
}

func (c *VersionClock) now() moment {
	return moment{time.Now(), c.suspended()}
}

// begin records a call that asks the store to wait up to a time.
func (c *VersionClock) begin(wait time.Duration) (*pendingCall, moment) {
	sent := c.now()
	call := &pendingCall{sent.at.Add(wait + answerDue)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[call] = struct{}{}
	return call, sent
}

// end records the result of a call, with the newest version that its response names, or 0. A call that the caller gave up before a response was
// due says nothing about the store.
func (c *VersionClock) end(ctx context.Context, call *pendingCall, newest int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
	now := c.now()
	givenUp := ctx.Err() != nil && now.at.Before(call.due)
	var conflict *ConflictError
	if err != nil && !givenUp && !errors.As(err, &conflict) && !errors.Is(err, ErrInvalidTxn) && !errors.Is(err, ErrHistoryDropped) {
		c.failedAt = now
	}
	c.recordReceived(newest, now)
}

// recordReceived records that a version was given out before a moment. The caller holds mu.
func (c *VersionClock) recordReceived(version int64, at moment) {
	i := sort.Search(len(c.received), func(i int) bool { return c.received[i].version >= version })
	if version <= 0 || i < len(c.received) && at.since(c.received[i].moment) >= 0 {
		// A response has named this version or a higher one before, which says more.
		return
	}
	if i < len(c.received) && c.received[i].version == version {
		i++
	}
	j := i
	for j > 0 && c.received[j-1].moment.since(at) >= 0 {
		j--
	}
	rest := append([]versionMark{{version, at}}, c.received[i:]...)
	c.received = boundMarks(append(c.received[:j], rest...))
}

// boundMarks drops the oldest marks beyond maxMarks. Versions that only they bound are then bounded less closely or not at all.
func boundMarks(marks []versionMark) []versionMark {
	if len(marks) <= maxMarks {
		return marks
	}
	return append(marks[:0], marks[len(marks)-maxMarks/2:]...)
}

// Commit implements Store.
func (c *VersionClock) Commit(ctx context.Context, txn Txn) (int64, error) {
	call, sent := c.begin(0)
	version, err := c.Store.Commit(ctx, txn)
	newest := version
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		newest = newestOf(conflict.Rows, 0)
	}
	c.end(ctx, call, newest, err)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordSent(version, sent)
	}
	return version, err
}

// recordSent records that versions above one were given out after a moment. The caller holds mu.
func (c *VersionClock) recordSent(version int64, sent moment) {
	i := sort.Search(len(c.sent), func(i int) bool { return c.sent[i].version >= version })
	if i > 0 && c.sent[i-1].moment.since(sent) >= 0 {
		// A commit that was sent later has taken a lower version, which says more.
		return
	}
	j := i
	for j < len(c.sent) && sent.since(c.sent[j].moment) >= 0 {
		j++
	}
	rest := append([]versionMark{{version, sent}}, c.sent[j:]...)
	c.sent = boundMarks(append(c.sent[:i], rest...))
}

// Range implements Store.
func (c *VersionClock) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	call, _ := c.begin(0)
	page, err := c.Store.Range(ctx, table, part, from, to, limit)
	c.end(ctx, call, newestOf(page.Rows, page.Version), err)
	return page, err
}

// Feed implements Store.
func (c *VersionClock) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	call, _ := c.begin(wait)
	page, err := c.Store.Feed(ctx, table, after, wait)
	c.end(ctx, call, newestOf(page.Rows, page.Version), err)
	return page, err
}

func newestOf(rows []Row, version int64) int64 {
	for _, row := range rows {
		version = max(version, row.Version)
	}
	return version
}

// GivenOutBefore returns a time before which a version was given out, as early as this process can tell, and whether it can.
func (c *VersionClock) GivenOutBefore(version int64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := sort.Search(len(c.received), func(i int) bool { return c.received[i].version >= version })
	if i == len(c.received) {
		return time.Time{}, false
	}
	return c.received[i].moment.at, true
}

// Since returns an upper bound of the time since a version was given out, including suspensions of the VM. It returns false if this
// process can't tell, or if one of its calls has failed, was refused or has had no response in time since then: the store may have been
// away meanwhile.
func (c *VersionClock) Since(version int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	i := sort.Search(len(c.sent), func(i int) bool { return c.sent[i].version >= version })
	if i == 0 || !c.worksSince(now, c.sent[i-1].moment) {
		return 0, false
	}
	return now.since(c.sent[i-1].moment), true
}

// Between returns an upper bound of the time between the moments at which two versions were given out, and false as Since does.
func (c *VersionClock) Between(from, to int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := sort.Search(len(c.sent), func(i int) bool { return c.sent[i].version >= from })
	j := sort.Search(len(c.received), func(j int) bool { return c.received[j].version >= to })
	if i == 0 || j == len(c.received) || to < from || !c.worksSince(c.now(), c.sent[i-1].moment) {
		return 0, false
	}
	return c.received[j].moment.since(c.sent[i-1].moment), true
}

// VersionBefore returns a version that was given out about as long ago, or less long if the clock does not cover that. It returns false if
// there is none.
func (c *VersionClock) VersionBefore(age time.Duration) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) == 0 {
		return 0, false
	}
	now := c.now()
	i := sort.Search(len(c.sent), func(i int) bool { return now.since(c.sent[i].moment) < age })
	return c.sent[max(i-1, 0)].version, true
}

// worksSince reports whether no call has failed or is overdue since a moment. The caller holds mu.
func (c *VersionClock) worksSince(now, begin moment) bool {
	if !c.failedAt.at.IsZero() && c.failedAt.since(begin) >= 0 {
		return false
	}
	for call := range c.pending {
		if now.at.After(call.due) {
			return false
		}
	}
	return true
}

// Mark is a bound that a VersionClock knows: a version, and how long before the mark was told the moment was before or after which
// versions were given out.
type Mark struct {
	Version int64
	Age     time.Duration
}

// Marks are bounds that one process tells another one. Those of Sent bound the versions above theirs from below, those of Received their
// own and lower versions from above.
type Marks struct{ Sent, Received []Mark }

const (
	// maxToldMarks bounds the marks of each kind that are told.
	maxToldMarks = 64
	// clockDrift is by how much the steady clocks of two VMs may differ.
	clockDrift = 0.03
)

// Covers reports whether the clock bounds versions that were given out up to a time ago.
func (c *VersionClock) Covers(span time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent) > 0 && c.now().since(c.sent[0].moment) >= span
}

// Tell returns marks up to an age. What a process concludes from the time that passed needs calls that did not fail, so it tells none from before
// its last failure.
func (c *VersionClock) Tell(span time.Duration) Marks {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var told Marks
	for _, m := range c.sent {
		if c.worksSince(now, m.moment) {
			told.Sent = append(told.Sent, Mark{m.version, now.since(m.moment)})
		}
	}
	for _, m := range c.received {
		told.Received = append(told.Received, Mark{m.version, now.since(m.moment)})
	}
	told.Sent, told.Received = thin(told.Sent, span), thin(told.Received, span)
	return told
}

// thin returns marks up to an age, about evenly in time. Without the others, fewer versions are bounded as closely.
func thin(marks []Mark, span time.Duration) []Mark {
	var kept []Mark
	for _, m := range marks {
		if m.Age <= span && (len(kept) == 0 || kept[len(kept)-1].Age-m.Age >= span/maxToldMarks) {
			kept = append(kept, m)
		}
	}
	return kept
}

// Learn asks another process for its marks and adds them. Ages are taken as too long or too short by as much as the clocks may differ,
// whichever bounds less closely.
func (c *VersionClock) Learn(ask func() (Marks, error)) error {
	// The other process measured the ages after this moment and before the one at which they are here.
	asked := c.now()
	told, err := ask()
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, m := range told.Sent {
		if m.Version > 0 && m.Age >= 0 {
			at := asked
			at.at = at.at.Add(-time.Duration(float64(m.Age) * (1 + clockDrift)))
			c.recordSent(m.Version, at)
		}
	}
	for _, m := range told.Received {
		if m.Age >= 0 {
			at := now
			at.at = at.at.Add(-time.Duration(float64(m.Age) * (1 - clockDrift)))
			c.recordReceived(m.Version, at)
		}
	}
	return nil
}
