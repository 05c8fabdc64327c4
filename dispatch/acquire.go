package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// ErrOwned means that the cell already has an active owner.
var ErrOwned = errors.New("cell has an owner")

// ErrNotLoaded means that the cell was taken over, but its jobs could not be read.
var ErrNotLoaded = errors.New("jobs of the cell can't be read")

// ReadOwner returns a cell's ownership row and its version, which is 0 if the cell never had an owner. Of a row that can't be
// decoded or names no owner, only the version is used, which is enough to take the cell over: the Ownership names no
// owner, so its writer counts as able to send commands, and earlier owners may have granted the longest leases. The Epoch of an
// owner that has not committed since its acquisition is the version of the row.
func ReadOwner(ctx context.Context, s store.Store, part string) (Ownership, int64, error) {
	page, err := s.Range(ctx, TableCells, part, "", "", 0)
	if err != nil {
		return Ownership{}, 0, err
	}
	for _, row := range page.Rows {
		if row.Key.Name != rowOwner {
			continue
		}
		var owner Ownership
		if err := json.Unmarshal(row.Value, &owner); err != nil || owner.IsUnknown() {
			return Ownership{InheritedLeaseMs: math.MaxInt32}, row.Version, nil
		}
		if owner.Epoch < 1 || owner.Epoch > row.Version {
			owner.Epoch = row.Version
		}
		return owner, row.Version, nil
	}
	return Ownership{}, 0, nil
}

// Acquire takes over the cell whose ownership row has the given version and loads its jobs. runners are those that may
// run tasks of the cell. It returns ErrOwned if the row has changed in the meantime, and ErrNotLoaded if the cell was taken over
// and sends no commands.
func Acquire(ctx context.Context, cfg Config, previous Ownership, version int64, runners []runner.Info) (*Cell, error) {
	nonce := cfg.Node + "/acquire/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	sent, suspended := time.Now(), cfg.suspended()
	inherited := inheritedLeaseEnd(&cfg, previous, sent)
	// If this owner is lost before its first commit, the next one needs what the previous owner knew.
	closed := boundInventories(previous.Closed)
	own := Ownership{Node: cfg.Node, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Nonce: nonce,
		Terminated: boundTerminated(previous.Terminated), Closed: closed, Fenced: previous.Fenced, Jobs: previous.Jobs, InheritedLeaseMs: inherited.Sub(sent).Milliseconds() + 1,
		Quota: previous.Quota, QuotaOver: previous.QuotaOver}
	written := previousWrite(&cfg, previous, sent)
	var rest int64
	own.LongLeasesMs, rest = encodeLongLeases(sent, longLeaseEnds(&cfg, previous.LongLeasesMs, written, sent))
	own.InheritedLeaseMs = max(own.InheritedLeaseMs, rest)
	if limit := cfg.leaseCap(); limit > 0 && len(cfg.Witnesses) > 0 {
		own.LeaseCapMs, own.Witnesses = limit.Milliseconds(), cfg.Witnesses
	}
	value, err := json.Marshal(own)
	if err != nil {
		return nil, err
	}
	epoch, err := commitOnce(ctx, cfg.Store, nonce, OwnerKey(cfg.Part), store.Txn{
		Conditions: []store.Condition{{Key: OwnerKey(cfg.Part), Version: version}},
		Writes:     []store.Write{{Key: OwnerKey(cfg.Part), Value: value}},
	})
	if err != nil {
		return nil, err
	}
	// An old read would hide jobs and progress that the cell has accepted, or show tasks of other cells as they were.
	cfg.Store = store.NewFreshReads(cfg.Store, epoch)
	c := newCell(cfg, epoch)
	if cfg.Acquired != nil {
		c.awaitsRunners = true
		cfg.Acquired(epoch)
	}
	c.ownerVersion, c.lastCommit, c.suspendedAtCommit = epoch, sent, suspended
	c.activeAt, c.suspendedAtActive = sent, suspended
	c.outage.wanted = cfg.Witnesses
	c.recordWitnesses(&own)
	c.runnerAddedAt = time.Now()
	c.listClosed(closed)
	c.caps.inherited, c.caps.inheritedOver, c.caps.firstOwner = previous.Quota, previous.QuotaOver, version == 0
	c.caps.needed.Store(previous.Quota > 0)
	if version != 0 {
		if err := c.load(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotLoaded, err)
		}
		c.census.recorded = previous.Jobs
		c.initUnresolved(previous, runners, inherited)
	}
	cfg.Log.WithFields(logrus.Fields{"cell": cfg.Name, "epoch": epoch, "previous": previous.Node, "released": previous.Released,
		"jobs": len(c.jobs), "read": c.census.read, "recorded": c.census.recorded, "inventories": len(previous.Closed), "took_ms": time.Since(sent).Milliseconds()}).Info("acquired the cell")
	return c, nil
}

// commitOnce repeats a commit until its outcome is known. The nonce in the stored row shows whether an earlier attempt
// was applied.
func commitOnce(ctx context.Context, s store.Store, nonce string, key store.Key, txn store.Txn) (int64, error) {
	for {
		version, err := s.Commit(ctx, txn)
		if err == nil {
			return version, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			row := conflict.Row(key)
			var owner Ownership
			if row.Version != 0 && json.Unmarshal(row.Value, &owner) == nil && owner.Nonce == nonce {
				return row.Version, nil
			}
			return 0, ErrOwned
		}
		if errors.Is(err, store.ErrUnavailable) {
			return 0, err
		}
		if !wait.For(ctx, commitRetry) {
			return 0, err
		}
	}
}

const (
	// maxOldReads bounds the time for which an acquisition repeats reads that are older than itself. A store that has dropped its
	// history may serve such reads for seconds.
	maxOldReads = 10 * time.Second
	// maxFailedReads bounds it for reads that fail. The acquisition has just been committed, so a failure will rather be a limit on the
	// rate of calls or a lost connection than an outage, and another node would read all rows anew.
	maxFailedReads = 3 * time.Second
)

// loadReads repeats reads for an acquisition.
type loadReads struct {
	store.Store
	cell  *Cell
	began time.Time
}

// Range implements store.Store.
func (s *loadReads) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	for {
		page, err := s.Store.Range(ctx, table, part, from, to, limit)
		if err == nil {
			return page, nil
		}
		patience := maxFailedReads
		if errors.Is(err, store.ErrOldRead) {
			patience = maxOldReads
		}
		s.cell.cfg.Log.WithFields(logrus.Fields{"cell": s.cell.cfg.Name, "table": table, "error": err.Error()}).Warn("could not read rows of an acquired cell")
		if time.Since(s.began) > patience || !wait.For(ctx, commitRetry) {
			return store.Page{}, err
		}
	}
}

// load reads the cell's jobs and their progress from the store.
func (c *Cell) load(ctx context.Context) error {
	reads := &loadReads{Store: c.cfg.Store, cell: c, began: time.Now()}
	defs, err := store.ReadAll(ctx, reads, TableJobs, c.cfg.Part)
	if err != nil {
		return err
	}
	progressPage, err := store.ReadAll(ctx, reads, TableProgress, c.cfg.Part)
	if err != nil {
		return err
	}
	progressRows := make(map[string][]byte, len(progressPage.Rows))
	versions := make(map[string]int64, len(progressPage.Rows))
	for _, row := range progressPage.Rows {
		progressRows[row.Key.Name], versions[row.Key.Name] = row.Value, row.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range defs.Rows {
		j, err := restore(row.Value, progressRows[row.Key.Name])
		if err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"request": row.Key.Name, "error": err.Error()}).Error("stored job can't be decoded")
			continue
		}
		j.rowVersion = versions[row.Key.Name]
		j.hostedSince = j.rowVersion
		c.addJob(row.Key.Name, j)
		c.restoreCap(j)
		c.resume(j)
	}
	c.countRead(defs.Rows, progressPage.Rows)
	return nil
}

// runGap is added to the run numbers of recovered units, because the previous owner may have started runs that were
// never written to the store.
const runGap = 8

// resume makes the units of a restored job ready. The caller holds mu.
func (c *Cell) resume(j *jobState) {
	c.resumeDelegations(j)
	if j.state.Terminal() {
		return
	}
	if !j.started && j.def.StartAt.IsZero() {
		c.pending[j.def.Policy.Queue]++
	}
	if j.def.StartAt.IsZero() && j.nextOcc == 0 {
		j.newOccurrence(0)
		j.nextOcc = 1
	}
	// A stored progress that lists no occurrence, neither open nor done, starts over with the first one.
	if len(j.occs) == 0 && j.nextOcc > 0 && len(j.doneOccs) == 0 {
		j.newOccurrence(0)
	}
	for _, occ := range j.occs {
		occ.markRecovered()
		c.activate(occ)
	}
}

// markRecovered marks the units of an occurrence as ones that an earlier owner may have started.
func (o *occurrence) markRecovered() {
	for i := range o.steps {
		for _, u := range o.steps[i].units {
			u.recovered, u.begun = true, o.durable && o.isUnblocked(i)
			// The row that says that a host does not have a unit was written after all its runs there.
			if u.phase != phaseRemote || u.job.origin == "" {
				u.run += runGap
			}
		}
	}
}

// leaseExpiry returns the time by which a lease that is granted now is guaranteed to have ended.
func leaseExpiry(now time.Time, lease time.Duration) time.Time {
	return now.Add(time.Duration(float64(lease)*(1+clockDrift)) + leaseSlack)
}
