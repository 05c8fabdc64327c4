package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// A cell that has lost more runners than it keeps in reserve delegates long-running tasks to cells with free capacity. The cell
// that accepted the job, the origin, keeps the job and its index row; the other one, the host, has a record of the job with
// only the delegated tasks, which it starts and restarts like its own.
//
// The origin first asks the host to reserve a place (reservation.go). Then the two progress rows of a job decide which cell has a task, each
// written by the owner of its cell only:
//
//  1. The origin names the host in its row. From then on it starts the task no more.
//  2. The host records the task in its row, in a commit that is conditional on the version of the origin's row, and may then
//     start it.
//  3. If the host has no capacity or does not respond, the origin takes the task back, in a commit that is conditional on the
//     version of the host's row, or its absence, which it has read.
//
// Steps 2 and 3 each change the row that the other one is conditional on, so only one of them succeeds, whoever the owners are and
// whatever messages are lost, late or repeated. A host returns a task that it has no place for (giveback.go). It ends its tasks when the origin's
// job ends.

// Peers reaches the owners of the other cells.
type Peers interface {
	// Hosts returns the other cells that report places for tasks of a step. It must not call the cell.
	Hosts(step *workload.Step, service string) []Host
	// Delegate asks the owner of a cell to take tasks over, and returns an outcome for each delegation.
	Delegate(ctx context.Context, cell string, ds []*Delegation) ([]Outcome, error)
	// CancelDelegated asks the owner of a cell to end the tasks of a job that it has taken over.
	CancelDelegated(ctx context.Context, cell, jobID string) error
	// Part returns the partition of a cell's rows.
	Part(cell string) string
	// Cells returns the names of all cells.
	Cells() []string
}

// Host is a cell that may take tasks over.
type Host struct {
	Cell string
	// Places is the number of tasks that fit there now, and LongRunningPlaces the number that fit once its short tasks have ended.
	Places, LongRunningPlaces int
}

// Delegation is a request to take over tasks of a job.
type Delegation struct {
	// Origin is the cell that accepted the job.
	Origin string `json:"origin"`
	// Job must be a job that passes Validate.
	Job *workload.Job `json:"job"`
	// Version is the version of the origin's progress row that names the host; 0 in a request for reservations.
	Version int64           `json:"version"`
	Tasks   []DelegatedTask `json:"tasks"`
	// Reserve asks to keep places for the tasks only. Owners of earlier builds refuse such a request.
	Reserve bool `json:"reserve,omitempty"`
	// Returned names the host that has returned the tasks; the message goes to the origin then. Owners of earlier builds refuse it.
	Returned string `json:"returned,omitempty"`
}

// DelegatedTask is a task that a host takes over.
type DelegatedTask struct {
	Step  int `json:"step"`
	Index int `json:"index"`
	// Run is the highest run number that was used.
	Run        int    `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// WaitedMs is for how long a task that is returned has waited, in milliseconds.
	WaitedMs int64 `json:"waited_ms,omitempty"`
}

const (
	// delegateAfter is how long a task that has a place in its cell waits for the short tasks there before it is delegated.
	delegateAfter = 2 * time.Second
	// delegateInterval is how often waiting tasks are checked.
	delegateInterval = 200 * time.Millisecond
	// maxDelegatedTasks bounds the tasks of one delegation.
	maxDelegatedTasks = 40
	// offerTimeout is how long a host without a response is asked before its tasks are taken back. A cell gets a new owner
	// within that time.
	offerTimeout = 4 * time.Second
	// offerCallTimeout bounds one request. It covers the host's commit in flight, the next one and two trips between regions.
	offerCallTimeout = 2200 * time.Millisecond
	// offerRetry is the pause between two requests.
	offerRetry = 200 * time.Millisecond
	// hostBackoff excludes a host for tasks of a size that it had no place for. Its reported load is up to a second old.
	hostBackoff = 1500 * time.Millisecond
	// endHostsRetry is the pause between two attempts to end the tasks of an ended job in other cells.
	endHostsRetry = 300 * time.Millisecond
)

// delegation is a group of units that the origin offers to a host.
type delegation struct {
	job   *jobState
	host  string
	units []*unit
	// durable is set once the origin's row names the host, and offered once the host is asked.
	durable, offered bool
}

func (j *jobState) addHost(cell string) {
	if j.hosts == nil {
		j.hosts = map[string]bool{}
	}
	j.hosts[cell] = true
}

// markedDelegations returns the delegations that the job's present row makes durable.
func (j *jobState) markedDelegations() []*delegation {
	var marked []*delegation
	for _, d := range j.delegations {
		if !d.durable {
			marked = append(marked, d)
		}
	}
	return marked
}

// resumeDelegations continues what the previous owner has begun: it asks the hosts again. The caller holds mu.
func (c *Cell) resumeDelegations(j *jobState) {
	if len(j.returnedUnits()) > 0 {
		c.returning[j] = true
	}
	if len(j.hosts) == 0 {
		return
	}
	c.delegating[j] = true
	byHost := map[string]*delegation{}
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				if u.host == "" {
					continue
				}
				d := byHost[u.host]
				if d == nil {
					d = &delegation{job: j, host: u.host, durable: true}
					byHost[u.host] = d
					j.delegations = append(j.delegations, d)
				}
				d.units = append(d.units, u)
			}
		}
	}
}

// tickDelegations continues delegations and delegates tasks that wait. The caller holds mu.
func (c *Cell) tickDelegations(ctx context.Context, now time.Time) {
	if c.cfg.Peers == nil || c.lost || c.releasing {
		return
	}
	c.expireReservations(now)
	for j := range c.delegating {
		if len(j.hosts) == 0 && len(j.transfers) == 0 {
			delete(c.delegating, j)
			continue
		}
		if j.state.Terminal() && len(j.hosts) > 0 && !j.endingHosts {
			j.endingHosts = true
			c.background.Go(func() { c.endHosts(ctx, j) })
		}
		c.startOffers(ctx, j.delegations)
	}
	if now.Sub(c.delegatedCheckedAt) >= delegateInterval && c.mayStartDelegations(now) {
		c.delegatedCheckedAt = now
		c.delegateWaiting(ctx, now)
		c.returnUnplaced(now)
	}
	c.tellOrigins(ctx, now)
}

// mayStartDelegations reports whether the owner knows the state of its runners and of the store well enough to pass tasks on. The caller
// holds mu.
func (c *Cell) mayStartDelegations(now time.Time) bool {
	return !c.lost && !c.releasing && c.mayCommand(now) && !c.storeDown && c.runnersKnown && !c.awaitsRunners
}

// startOffers asks the hosts of durable delegations, once, with one request for each host. The caller holds mu.
func (c *Cell) startOffers(ctx context.Context, delegations []*delegation) {
	if c.releasing {
		return
	}
	byHost := map[string][]*delegation{}
	for _, d := range delegations {
		if d.durable && !d.offered && !d.job.state.Terminal() {
			d.offered = true
			byHost[d.host] = append(byHost[d.host], d)
		}
	}
	for host, offered := range byHost {
		c.background.Go(func() { c.offerAll(ctx, host, offered) })
	}
}

// mayDelegate reports whether another cell may run a unit that waits. The caller holds mu.
func (c *Cell) mayDelegate(u *unit) bool {
	j := u.job
	return u.phase == phaseReady && u.startsDurably() && !j.state.Terminal() && j.origin == "" && j.def.StartAt.IsZero() &&
		len(j.delegations) == 0 && len(j.transfers) == 0 && !c.awaitsUnresolved(u) && c.capAllows(time.Now(), u)
}

// waitingUnits are units of one step that are to be delegated.
type waitingUnits struct {
	units []*unit
	// noPlace is set if the cell has no place for them. Otherwise they wait for short tasks to end.
	noPlace bool
}

// delegateWaiting requests places in other cells for long-running tasks that have no place in the cell, or that short tasks have kept
// from it for delegateAfter. The caller holds mu.
func (c *Cell) delegateWaiting(ctx context.Context, now time.Time) {
	requested := map[string][]*unit{}
	for _, w := range c.unitsToDelegate(now) {
		host, places := c.chooseHost(now, w, requested)
		if host == "" {
			continue
		}
		requested[host] = append(requested[host], w.units[:min(len(w.units), places, maxDelegatedTasks)]...)
	}
	for host, units := range requested {
		for _, u := range units {
			u.placeRequested = true
		}
		c.background.Go(func() { c.requestPlaces(ctx, host, units) })
	}
}

// unitsToDelegate returns the waiting units that another cell may serve sooner. The caller holds mu.
func (c *Cell) unitsToDelegate(now time.Time) []*waitingUnits {
	if !slices.ContainsFunc(c.ready, c.mayDelegate) {
		return nil
	}
	packing := c.newRespondingPacking(now)
	packing.placeAll()
	var found []*waitingUnits
	groups := map[equivClass]map[bool]*waitingUnits{}
	for _, u := range c.ready {
		if !c.mayDelegate(u) {
			continue
		}
		class := equivClass{u.job, u.occ, u.step}
		noPlace := packing.unplaced[u.def()] > 0
		if noPlace {
			packing.unplaced[u.def()]--
		}
		if u.placeRequested || !noPlace && now.Sub(u.readyAt) < delegateAfter {
			continue
		}
		if groups[class] == nil {
			groups[class] = map[bool]*waitingUnits{}
		}
		w := groups[class][noPlace]
		if w == nil {
			w = &waitingUnits{noPlace: noPlace}
			groups[class][noPlace] = w
			found = append(found, w)
		}
		w.units = append(w.units, u)
	}
	return found
}

// chooseHost returns the cell that reports the most places for units, and how many. requested holds the units for which the cells have
// been chosen. The caller holds mu.
func (c *Cell) chooseHost(now time.Time, w *waitingUnits, requested map[string][]*unit) (host string, places int) {
	first := w.units[0]
	for _, h := range c.cfg.Peers.Hosts(first.def(), c.serviceOf(first.job)) {
		free := h.Places
		if w.noPlace {
			free = h.LongRunningPlaces
		}
		if free -= len(requested[h.Cell]); free > places && !c.refusedBy[h.Cell].excludes(now, first.def()) {
			host, places = h.Cell, free
		}
	}
	return host, places
}

// placesElsewhere returns how many tasks like a unit fit into other cells now, and how many once their short tasks have ended, as last
// reported. The caller holds mu.
func (c *Cell) placesElsewhere(u *unit) (now, longRunning int) {
	for _, h := range c.cfg.Peers.Hosts(u.def(), c.serviceOf(u.job)) {
		now, longRunning = now+h.Places, longRunning+h.LongRunningPlaces
	}
	return now, longRunning
}

// markDelegated names the host of units in the job's row. The caller holds mu.
func (c *Cell) markDelegated(j *jobState, host string, units []*unit) {
	for _, u := range units {
		c.unqueue(u)
		u.phase, u.host, u.assigned = phaseRemote, host, ""
	}
	j.addHost(host)
	j.delegations = append(j.delegations, &delegation{job: j, host: host, units: units})
	c.delegating[j] = true
	c.cfg.Metrics.delegated.Add(float64(len(units)))
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": j.def.ID, "host": host, "tasks": len(units),
		"waited_ms": time.Since(units[0].readyAt).Milliseconds()}).Info("delegating tasks to another cell")
	c.markUrgent(j)
}

// offerDelegations asks the hosts of delegations that a batch has made durable. The caller holds mu.
func (c *Cell) offerDelegations(ctx context.Context, b *batch) {
	var offered []*delegation
	for _, bj := range b.jobs {
		for _, d := range bj.offered {
			d.durable = true
			offered = append(offered, d)
		}
	}
	c.startOffers(ctx, offered)
}

// offerAll asks a host to take over the units of several delegations, and goes on with each of them that has another outcome.
func (c *Cell) offerAll(ctx context.Context, host string, delegations []*delegation) {
	var messages []*Delegation
	var asked []*delegation
	for _, d := range delegations {
		if message, ok := c.delegationMessage(d); ok {
			messages, asked = append(messages, message), append(asked, d)
		}
	}
	if len(asked) == 0 {
		return
	}
	outcomes, _ := c.ask(ctx, offerCallTimeout, host, messages)
	c.mu.Lock()
	for i, d := range asked {
		c.recordAnswer(d.units, outcomes[i])
	}
	c.mu.Unlock()
	for i, d := range asked {
		if outcomes[i] == OutcomeAccepted {
			c.settle(d, d.units)
			continue
		}
		c.background.Go(func() { c.offer(ctx, d) })
	}
}

// offer asks a host to take the units of a delegation over, until it has done so or they have been taken back.
func (c *Cell) offer(ctx context.Context, d *delegation) {
	deadline := time.Now().Add(offerTimeout)
	for ctx.Err() == nil {
		message, ok := c.delegationMessage(d)
		if !ok {
			return
		}
		outcomes, _ := c.ask(ctx, offerCallTimeout, d.host, []*Delegation{message})
		outcome := outcomes[0]
		c.mu.Lock()
		c.recordAnswer(d.units, outcome)
		c.mu.Unlock()
		refused := outcome == OutcomeFull || outcome == OutcomeRefused
		switch {
		case outcome == OutcomeAccepted:
			c.settle(d, d.units)
			return
		case refused || time.Now().After(deadline):
			if c.withdraw(ctx, d, outcome) {
				return
			}
		}
		wait.For(ctx, offerRetry)
	}
}

// ask sends a request to a host and returns an outcome for each message, which is unknown after an error.
func (c *Cell) ask(ctx context.Context, timeout time.Duration, host string, messages []*Delegation) ([]Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcomes, err := c.cfg.Peers.Delegate(ctx, host, messages)
	if err == nil && len(outcomes) != len(messages) {
		err = fmt.Errorf("host %s returned %d outcomes for %d delegations", host, len(outcomes), len(messages))
	}
	if err != nil {
		outcomes = slices.Repeat([]Outcome{OutcomeUnknown}, len(messages))
	}
	return outcomes, err
}

// delegationMessage returns the request for a delegation, or false if it has ended.
func (c *Cell) delegationMessage(d *delegation) (*Delegation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost || d.job.state.Terminal() || len(d.units) == 0 {
		return nil, false
	}
	message := &Delegation{Origin: c.cfg.Name, Job: d.job.def, Version: d.job.rowVersion}
	for _, u := range d.units {
		message.Tasks = append(message.Tasks, DelegatedTask{Step: u.step, Index: u.first, Run: u.run, Checkpoint: u.checkpoint})
	}
	return message, true
}

// settle records that the host has units of a delegation.
func (c *Cell) settle(d *delegation, units []*unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": d.job.def.ID, "host": d.host, "tasks": len(units)}).
		Info("another cell has taken tasks over")
	c.markStarted(d.job)
	endWaits(units)
	c.dropUnits(d, units)
}

// dropUnits removes units from a delegation, and the delegation once it has none. The caller holds mu.
func (c *Cell) dropUnits(d *delegation, units []*unit) {
	d.units = slices.DeleteFunc(slices.Clone(d.units), func(u *unit) bool { return slices.Contains(units, u) })
	if len(d.units) == 0 {
		d.job.delegations = slices.DeleteFunc(d.job.delegations, func(other *delegation) bool { return other == d })
	}
}

// withdraw takes back the units of a delegation that the host has not taken over. It reports whether the delegation has ended.
func (c *Cell) withdraw(ctx context.Context, d *delegation, outcome Outcome) (ended bool) {
	hosted, condition, err := c.readHosted(ctx, d.host, d.job.def.ID)
	if err != nil {
		return false
	}
	var taken, left []*unit
	for _, u := range d.units {
		if hosted.holds(u) {
			taken = append(taken, u)
		} else {
			left = append(left, u)
		}
	}
	if len(taken) > 0 {
		c.settle(d, taken)
	}
	if len(left) == 0 {
		return true
	}
	c.mu.Lock()
	if c.lost || d.job.state.Terminal() {
		c.mu.Unlock()
		return true
	}
	c.recordRefusal(time.Now(), d.host, 0)
	t := c.beginTakeBack(left, d.host, &hosted, condition)
	c.mu.Unlock()
	select {
	case <-t.done:
	case <-ctx.Done():
		return true
	}
	if !t.applied {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Metrics.withdrawn.Add(float64(len(left)))
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": d.job.def.ID, "host": d.host, "tasks": len(left), "outcome": outcome.String()}).
		Info("took delegated tasks back")
	c.dropUnits(d, left)
	return true
}

// readRow reads one row, as of the owner's last commit or later; its version is 0 if it does not exist.
func (c *Cell) readRow(ctx context.Context, key store.Key) (store.Row, error) {
	page, err := c.cfg.Store.Range(ctx, key.Table, key.Part, key.Name, key.Name+"\x00", 1)
	return rowOf(page, key), err
}

// readRowSince reads one row as of a version or later. A caller that does not need its own last commits goes on while reads of the store are
// old.
func (c *Cell) readRowSince(ctx context.Context, version int64, key store.Key) (store.Row, error) {
	reads, ok := c.cfg.Store.(*store.FreshReads)
	if !ok {
		return c.readRow(ctx, key)
	}
	page, err := reads.RangeSince(ctx, version, key.Table, key.Part, key.Name, key.Name+"\x00", 1)
	return rowOf(page, key), err
}

// rowOf returns the row with a key; its version is 0 if the page does not have it.
func rowOf(page store.Page, key store.Key) store.Row {
	for _, row := range page.Rows {
		if row.Key == key {
			return row
		}
	}
	return store.Row{Key: key}
}

// holds reports whether the progress of a host lists a unit as one that it has.
func (p *progress) holds(u *unit) bool { return p.unit(u).Held }

// endHosts ends the tasks of an ended job in the cells to which they were delegated, until it is confirmed.
func (c *Cell) endHosts(ctx context.Context, j *jobState) {
	for c.endHostsOnce(ctx, j) {
		if !wait.For(ctx, endHostsRetry) {
			return
		}
	}
}

// endHostsOnce asks each host to end the tasks of a job, and reports whether some may still have any.
func (c *Cell) endHostsOnce(ctx context.Context, j *jobState) (more bool) {
	c.mu.Lock()
	hosts := make([]string, 0, len(j.hosts))
	for host := range j.hosts {
		hosts = append(hosts, host)
	}
	// A take-over that was sent earlier fails once the end of the job is durable, so only then a host is confirmed to have none.
	durable := j.durableState.Terminal()
	id, lost := j.def.ID, c.lost
	c.mu.Unlock()
	if lost {
		return false
	}
	for _, host := range hosts {
		err := c.cancelAt(ctx, host, id)
		if err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": id, "host": host, "error": err.Error()}).
				Debug("another cell has not ended its tasks")
		}
		if !durable {
			continue
		}
		if ended, err := c.hasEndedIn(ctx, host, id); err != nil || !ended {
			continue
		}
		c.mu.Lock()
		delete(j.hosts, host)
		c.markDirty(j)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(j.hosts) > 0 && !c.lost
}

func (c *Cell) cancelAt(ctx context.Context, host, id string) error {
	ctx, cancel := context.WithTimeout(ctx, offerCallTimeout)
	defer cancel()
	return c.cfg.Peers.CancelDelegated(ctx, host, id)
}

// hasEndedIn reports whether the store shows that a job has ended in another cell, or that the cell has no record of it.
func (c *Cell) hasEndedIn(ctx context.Context, cell, id string) (bool, error) {
	row, err := c.readRow(ctx, store.Key{Table: TableProgress, Part: c.cfg.Peers.Part(cell), Name: id})
	if err != nil {
		return false, err
	}
	return isEnded(row)
}

// isEnded reports whether a progress row shows that the job has ended, or does not exist.
func isEnded(row store.Row) (bool, error) {
	if row.Version == 0 {
		return true, nil
	}
	p, err := decodeProgress(row.Value)
	return err == nil && p.State.Terminal(), err
}
