package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/store"
)

const (
	// quotaWait bounds the wait for a change of the table of limits.
	quotaWait = time.Second
	// quotaCheckInterval is how often a node that does not follow the table checks whether it needs it.
	quotaCheckInterval = 100 * time.Millisecond
	// allocateInterval is how often the owner of the first cell looks for changes to make. Cells acknowledge a row after one commit.
	allocateInterval = 200 * time.Millisecond
	// overReportInterval is how often the reports of cells are read of which the last one said that they hold more than their limits: it lasts until
	// tasks end.
	overReportInterval = time.Second
	// silentAfter is how long the heartbeat of a cell's owner is unchanged when the cell's limits are not lowered for the sake of others: a heartbeat
	// and the next one were missed. An owner that is gone has a successor, which acknowledges, after 3 to 10 s.
	silentAfter = 2 * ownership.HeartbeatInterval
	// moveInterval is the minimum time between two rows that lower limits of one organisation.
	moveInterval = time.Second
	// learnedUseRetention is how long a report of what a cell uses replaces its missing demand.
	learnedUseRetention = 10 * time.Second
)

// needsQuota reports whether a cell of this node needs the table of limits.
func (n *Node) needsQuota() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if config := n.catalog.Load(); len(n.cells) > 0 && config != nil && len(config.Organisations) > 0 {
		return true
	}
	for _, c := range n.cells {
		if c.NeedsQuota() {
			return true
		}
	}
	return false
}

// quotaLoop passes the limits of organisations to the cells of this node.
func (n *Node) quotaLoop(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		if !n.needsQuota() {
			wait.For(ctx, quotaCheckInterval)
			continue
		}
		page, _, known := n.quotas.Changes(ctx, version, quotaWait)
		if known {
			version = page.Version
			n.passQuota(page)
		}
	}
}

// passQuota decodes changed rows of the table of limits and passes all rows to the cells. Rows that can't be decoded are not applied, nor is
// the version up to which the table was read, so that no cell acknowledges them.
func (n *Node) passQuota(page store.Page) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range page.Rows {
		name := row.Key.Name
		if row.Deleted || row.Version <= n.quotaRows[name].Version {
			// Rows of organisations are never deleted. If another writer does, the last limits stay in force.
			continue
		}
		decoded, err := quota.Decode(row.Value)
		if err != nil {
			n.rowLog.Warn(logrus.Fields{"organisation": fmt.Sprintf("%.50q", name), "error": err.Error()}, "row of an organisation's limits can't be decoded")
			n.badQuotaRows[name] = true
			continue
		}
		delete(n.badQuotaRows, name)
		n.quotaRows[name] = quota.VersionedRow{Row: decoded, Version: row.Version}
	}
	if len(n.badQuotaRows) > 0 || page.Version < n.quotaVersion {
		return
	}
	n.quotaVersion = page.Version
	for _, c := range n.cells {
		c.SetQuota(n.quotaRows, n.quotaVersion)
	}
}

// readQuota reads the table of limits once a cell of this node needs it, as new as the cell's epoch: the copy may be older than rows that the
// previous owner has acknowledged.
func (n *Node) readQuota(ctx context.Context, cell string, c *dispatch.Cell) {
	repeated := &store.RepeatedReads{Store: n.store, Repeater: &store.Repeater{Delay: ownership.HeartbeatInterval}}
	for failures := 0; ctx.Err() == nil; {
		select {
		case <-c.Done():
			return
		default:
		}
		if !n.needsQuota() {
			wait.For(ctx, quotaCheckInterval)
			continue
		}
		page, err := store.ReadAll(ctx, repeated, quota.Table, "")
		if err == nil && page.Version >= c.Epoch() {
			n.quotas.Apply(page)
			copied, _, _ := n.quotas.Changes(ctx, 0, 0)
			n.passQuota(copied)
			return
		}
		if failures++; failures == 1 {
			n.log.WithFields(logrus.Fields{"cell": cell, "error": err, "version": page.Version}).
				Warn("could not read the limits of organisations for a new cell")
		}
		wait.For(ctx, readRetry)
	}
}

// allocator divides the caps of organisations among the cells while this node owns the first cell. What it remembers only saves calls.
type allocator struct {
	node *Node
	// movedAt is when limits were last lowered, by organisation, and overAt when a cell last reported that it holds more, by organisation.
	movedAt, overAt map[string]time.Time
	// learned is what cells have reported that they use, by organisation and cell.
	learned map[string]map[string]learnedUse
}

type learnedUse struct {
	held quota.Amounts
	at   time.Time
}

func newAllocator(n *Node) *allocator {
	return &allocator{node: n, movedAt: map[string]time.Time{}, overAt: map[string]time.Time{}, learned: map[string]map[string]learnedUse{}}
}

// run changes rows until ctx ends.
func (a *allocator) run(ctx context.Context) {
	for wait.For(ctx, allocateInterval) {
		for a.allocate(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// organisationState is an organisation that may need a new row.
type organisationState struct {
	name  string
	state quota.State
	next  quota.Row
	made  quota.Change
}

// allocate writes the next rows, and reports whether there may be more at once.
func (a *allocator) allocate(ctx context.Context) (more bool) {
	now := time.Now()
	organisations, version := a.organisations(now)
	if len(organisations) == 0 {
		return false
	}
	a.addReports(ctx, now, organisations, version)
	var changed []*organisationState
	for _, o := range organisations {
		if o.next, o.made = quota.Next(o.state); o.made != quota.Unchanged {
			changed = append(changed, o)
		}
	}
	if len(changed) == 0 {
		return false
	}
	return a.write(ctx, now, changed)
}

// organisations returns the state of all organisations with a cap or a row, as far as this node's copy of the table tells, and the version of
// that copy. There are none unless this node owns the first cell and has a configuration.
func (a *allocator) organisations(now time.Time) ([]*organisationState, int64) {
	n := a.node
	config := n.catalog.Load()
	cells := n.cellNames()
	n.mu.Lock()
	owns := n.cells[firstCell] != nil
	rows, version := maps.Clone(n.quotaRows), n.quotaVersion
	epoch := int64(0)
	if owns {
		epoch = n.cells[firstCell].Epoch()
	}
	n.mu.Unlock()
	if !owns || config == nil || len(cells) == 0 || version < epoch {
		return nil, 0
	}
	demands, silent := a.demands(now, cells)
	states := map[string]*organisationState{}
	for name, row := range rows {
		// An organisation that is removed from the configuration keeps its cap.
		states[name] = &organisationState{name: name, state: quota.State{Cap: row.Cap, Config: row.Config, Row: row.Row, Version: row.Version}}
	}
	for name, o := range config.Organisations {
		if states[name] == nil {
			states[name] = &organisationState{name: name}
		}
		states[name].state.Cap, states[name].state.Config = quota.Of(o.Cap), config.Version
	}
	var organisations []*organisationState
	for _, name := range slices.Sorted(maps.Keys(states)) {
		o := states[name]
		o.state.Cells, o.state.Demand, o.state.Silent = cells, a.withLearned(now, name, demands[name]), silent
		o.state.MayMove = now.Sub(a.movedAt[name]) >= moveInterval
		if o.state.Version > 0 || o.state.Cap != (quota.Amounts{}) {
			organisations = append(organisations, o)
		}
	}
	return organisations, version
}

// demands returns what the cells report, by organisation and cell, and the cells whose owners have not been heard of lately.
func (a *allocator) demands(now time.Time, cells []string) (demands map[string]map[string]quota.Demand, silent map[string]bool) {
	demands, silent = map[string]map[string]quota.Demand{}, map[string]bool{}
	owners := a.node.directory.Owners(now)
	for _, cell := range cells {
		owner, ok := owners[cell]
		silent[cell] = !ok || a.node.directory.SilentFor(now, owner.Node) > silentAfter
		for organisation, d := range owners[cell].Load.Organisations {
			if demands[organisation] == nil {
				demands[organisation] = map[string]quota.Demand{}
			}
			demands[organisation][cell] = d
		}
	}
	return demands, silent
}

// withLearned adds what cells without a demand have recently reported that they use.
func (a *allocator) withLearned(now time.Time, organisation string, demand map[string]quota.Demand) map[string]quota.Demand {
	for cell, use := range a.learned[organisation] {
		if now.Sub(use.at) >= learnedUseRetention {
			delete(a.learned[organisation], cell)
			continue
		}
		if _, ok := demand[cell]; !ok {
			if demand == nil {
				demand = map[string]quota.Demand{}
			}
			demand[cell] = quota.Demand{Used: use.held}
		}
	}
	return demand
}

// addReports reads the ownership rows of the cells of which a change needs a report. The reads are at least as new as the rows of the
// organisations.
func (a *allocator) addReports(ctx context.Context, now time.Time, organisations []*organisationState, version int64) {
	wanted := map[string]bool{}
	for _, o := range organisations {
		if now.Sub(a.overAt[o.name]) < overReportInterval {
			continue
		}
		for _, cell := range o.state.Row.Pending() {
			wanted[cell] = true
		}
	}
	if len(wanted) == 0 {
		return
	}
	owners := a.readOwners(ctx, slices.Sorted(maps.Keys(wanted)), version)
	for _, o := range organisations {
		o.state.Reports = map[string]quota.Report{}
		for _, cell := range o.state.Row.Pending() {
			report, ok := owners[cell]
			if !ok {
				continue
			}
			held, over := report.over[o.name]
			o.state.Reports[cell] = quota.Report{Version: report.version, Over: over, Held: held}
			if report.version < o.state.Version {
				continue
			}
			if over {
				a.overAt[o.name] = now
			}
			if !over && o.state.Row.Cells[cell].Limit != (quota.Amounts{}) {
				// It uses some part of its limit.
				delete(a.learned[o.name], cell)
				continue
			}
			if a.learned[o.name] == nil {
				a.learned[o.name] = map[string]learnedUse{}
			}
			a.learned[o.name][cell] = learnedUse{held, now}
		}
	}
}

// ownerReport is what the ownership row of a cell acknowledges.
type ownerReport struct {
	version int64
	over    map[string]quota.Amounts
}

// maxOwnerReads bounds the ownership rows that the allocator reads at once.
const maxOwnerReads = 8

// readOwners reads the ownership rows of cells, as new as a version. Cells whose rows can't be read are left out.
func (a *allocator) readOwners(ctx context.Context, cells []string, version int64) map[string]ownerReport {
	n := a.node
	reads := store.NewFreshReads(n.store, version)
	reports := make([]*ownerReport, len(cells))
	slots := make(chan struct{}, maxOwnerReads)
	for i, cell := range cells {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			owner, rowVersion, err := dispatch.ReadOwner(ctx, reads, n.cellPart(cell))
			switch {
			case err != nil:
			case rowVersion == 0:
				// The cell has had no owner. Its first one will read the table after this.
				reports[i] = &ownerReport{version: version}
			case !owner.IsUnknown():
				reports[i] = &ownerReport{owner.Quota, owner.QuotaOver}
			}
		}()
	}
	for range maxOwnerReads {
		slots <- struct{}{}
	}
	read := map[string]ownerReport{}
	for i, cell := range cells {
		if reports[i] != nil {
			read[cell] = *reports[i]
		}
	}
	return read
}

// write writes changed rows, each under the condition that the row still has its version. It reports whether rows were left out.
func (a *allocator) write(ctx context.Context, now time.Time, changed []*organisationState) (more bool) {
	n := a.node
	var txn store.Txn
	size := 0
	var written []*organisationState
	for _, o := range changed {
		value, err := o.next.Encode()
		if err != nil || len(value) > store.MaxRowBytes {
			n.rowLog.Warn(logrus.Fields{"organisation": o.name, "bytes": len(value)}, "row of an organisation's limits can't be stored")
			continue
		}
		if txn.Entries()+2 > store.MaxTxnEntries || size+len(value) > store.MaxTxnBytes {
			more = true
			break
		}
		size += len(value)
		key := store.Key{Table: quota.Table, Name: o.name}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: o.state.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		written = append(written, o)
	}
	if len(written) == 0 {
		return false
	}
	version, err := n.store.Commit(ctx, txn)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Another allocator has written, or an earlier attempt of this one was applied.
		a.applyRows(conflict.Rows)
		return false
	}
	if err != nil {
		n.log.WithError(err).Warn("could not write limits of organisations")
		return false
	}
	rows := make([]store.Row, len(txn.Writes))
	for i, w := range txn.Writes {
		rows[i] = store.Row{Key: w.Key, Value: w.Value, Version: version}
		o := written[i]
		if o.made == quota.Lowered {
			a.movedAt[o.name] = now
		}
		delete(a.overAt, o.name)
		n.log.WithFields(logrus.Fields{"organisation": o.name, "change": o.made.String(), "pending": len(o.next.Pending()), "bytes": len(w.Value)}).
			Debug("limits of an organisation changed")
	}
	a.applyRows(rows)
	return more
}

// applyRows applies rows that this node knows from its own commit or from a conflict to its copy, so that the next change is based on them. The
// version up to which the table has been read stays the same.
func (a *allocator) applyRows(rows []store.Row) {
	existing := slices.DeleteFunc(slices.Clone(rows), func(row store.Row) bool { return row.Version == 0 })
	n := a.node
	n.mu.Lock()
	version := n.quotaVersion
	n.mu.Unlock()
	n.passQuota(store.Page{Rows: existing, Version: version})
}
