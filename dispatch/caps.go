package dispatch

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/workload"
)

// The cap of an organisation is divided among the cells (package quota), and the owner of a cell starts a task only if what the
// organisation's runs hold in the cell stays within the cell's limit. A run counts from its assignment to a runner until it is proved to have
// ended. What a new owner does not know yet counts too: runs of earlier owners on runners that have not responded.

const (
	// unknownOrganisationWait is how old a job of an organisation must be that neither the configuration nor the table has, before its tasks
	// start without a limit: the configuration that has the organisation may be on its way.
	unknownOrganisationWait = 5 * time.Second
	// endedRunTime is how long after the end of a job a former owner may not have stopped its runs yet: the longest lease, the time to a new
	// owner and as much again.
	endedRunTime = 30 * time.Second
	// demandWakeInterval is the minimum time between two heartbeats because tasks have begun to wait for a limit.
	demandWakeInterval = 400 * time.Millisecond
	// maxReportedDemands bounds the organisations in a cell's load.
	maxReportedDemands = 100
)

// caps is what the owner knows of the organisations' caps.
type caps struct {
	// version is the version of the table up to which the rows are applied; 0 until it has been read since the acquisition.
	version int64
	// inherited and inheritedOver are what the previous owner has reported. They stay in the ownership row until this owner knows what its
	// runners may run.
	inherited     int64
	inheritedOver map[string]quota.Amounts
	// firstOwner is set if the cell had no owner before.
	firstOwner bool
	accounts   map[string]*capAccount
	// endedHere has the organisations of which a job had ended early before the takeover, so that its runs may still be being stopped.
	endedHere map[string]bool
	// needed is what NeedsQuota returns.
	needed atomic.Bool
	// wokenAt is when a heartbeat was last requested.
	wokenAt time.Time
	// shown is what the cell has added to the gauges.
	shown organisationGauges
}

// capAccount is what the owner knows of one organisation.
type capAccount struct {
	*quota.Account
	// held is what the organisation's known runs hold.
	held workload.Resources
	// waiting are the tasks that waited for the limit as of the last plan.
	waiting, largest quota.Amounts
	waitingTasks     int
}

// extraRun is a run on a runner that is not part of the state, and counts until a report does not list it.
type extraRun struct {
	organisation string
	size         quota.Amounts
}

// sizeOf returns what a task of a step counts towards the cap of its organisation. Best-effort tasks count in full too, although they commit
// no processor time.
func sizeOf(step *workload.Step) quota.Amounts { return quota.Of(step.Resources) }

// account returns the account of an organisation. The caller holds mu.
func (c *Cell) account(organisation string) *capAccount {
	a := c.caps.accounts[organisation]
	if a == nil {
		known := c.caps.firstOwner || c.caps.inherited > 0
		a = &capAccount{Account: quota.NewAccount(c.cfg.Name, c.caps.inheritedOver[organisation], known)}
		c.caps.accounts[organisation] = a
	}
	return a
}

// held returns what the known runs of an organisation hold in the cell. The caller holds mu.
func (c *Cell) held(organisation string) workload.Resources {
	if a := c.caps.accounts[organisation]; a != nil {
		return a.held
	}
	return workload.Resources{}
}

// countRun adds a run of a step to what its organisation holds, or removes it. The caller holds mu.
func (c *Cell) countRun(j *jobState, step *workload.Step, added bool) {
	if j.def.Organisation == "" {
		return
	}
	a := c.account(j.def.Organisation)
	charge := a.Charge(sizeOf(step))
	if added {
		a.held = a.held.Add(step.Resources)
		a.Add(charge)
	} else {
		a.held = a.held.Sub(step.Resources)
		a.Add(quota.Amounts{}.Sub(charge))
	}
}

// addExtra counts a run that is not part of the state. The caller holds mu.
func (c *Cell) addExtra(rs *runnerState, j *jobState, step int) {
	if j == nil || j.def.Organisation == "" || step < 0 || step >= len(j.def.Steps) {
		return
	}
	extra := extraRun{j.def.Organisation, sizeOf(&j.def.Steps[step])}
	rs.extra = append(rs.extra, extra)
	a := c.account(extra.organisation)
	a.Add(a.Charge(extra.size))
}

// dropExtras removes the runs of a runner that are not part of the state, because they have ended or a report follows that lists them. The
// caller holds mu.
func (c *Cell) dropExtras(rs *runnerState) {
	if len(rs.extra) == 0 {
		return
	}
	for _, extra := range rs.extra {
		a := c.account(extra.organisation)
		a.Add(quota.Amounts{}.Sub(a.Charge(extra.size)))
	}
	rs.extra = nil
	wake(c.planWake)
}

// recharge computes anew what the runs of an organisation are charged. The caller holds mu.
func (c *Cell) recharge(organisation string, a *capAccount) {
	var charged quota.Amounts
	for _, rs := range c.runners {
		for r := range rs.runs {
			if r.unit.job.def.Organisation == organisation {
				charged = charged.Add(a.Charge(sizeOf(r.unit.def())))
			}
		}
		for _, extra := range rs.extra {
			if extra.organisation == organisation {
				charged = charged.Add(a.Charge(extra.size))
			}
		}
	}
	a.SetHeld(charged)
}

// SetQuota applies the rows of the table of limits as read up to a version. It is ignored if the table was not read since the cell was
// acquired: a predecessor may have acknowledged newer rows. rows must have all organisations.
func (c *Cell) SetQuota(rows map[string]quota.VersionedRow, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.epoch || version < c.caps.version {
		return
	}
	if c.caps.version == 0 {
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "organisations": len(rows), "version": version}).Debug("limits of organisations read")
	}
	if len(rows) > 0 {
		c.caps.needed.Store(true)
	}
	acknowledged := c.caps.version
	c.caps.version = version
	for organisation, row := range rows {
		a := c.account(organisation)
		if row.Version > a.Version() {
			if a.SetRow(row.Row, row.Version) {
				c.recharge(organisation, a)
			}
			wake(c.planWake)
		}
		if row.Cells[c.cfg.Name].Before != nil && acknowledged < row.Version && row.Version <= version {
			// The division goes on once the next ownership row acknowledges this one.
			wake(c.flushWake)
		}
	}
	if acknowledged == 0 {
		wake(c.planWake)
	}
}

// NeedsQuota reports whether the cell needs the table of limits whatever the configuration says: it has had a job of an organisation, or this
// owner or an earlier one has acknowledged rows and has to acknowledge their changes. It is called often, so it does not wait for a plan.
func (c *Cell) NeedsQuota() bool { return c.caps.needed.Load() }

// restoreCap records what a job that was accepted under an earlier owner means for the cap of its organisation. The caller holds mu.
func (c *Cell) restoreCap(j *jobState) {
	if j.def.Organisation == "" {
		return
	}
	c.caps.needed.Store(true)
	if j.state.Terminal() && j.state != workload.StateCompleted && time.Since(j.finishedAt) < endedRunTime {
		c.caps.endedHere[j.def.Organisation] = true
	}
}

// capAllows reports whether the cap of its organisation lets a unit start now. The caller holds mu.
func (c *Cell) capAllows(now time.Time, u *unit) bool {
	organisation := u.job.def.Organisation
	if organisation == "" {
		return true
	}
	if c.cfg.AwaitQuota && c.caps.version == 0 {
		return false
	}
	a := c.caps.accounts[organisation]
	if a == nil || !a.Known() {
		return c.isUncapped(now, u.job)
	}
	return a.MayHold(a.Charge(sizeOf(u.def())).Times(u.size))
}

// isUncapped reports whether tasks of an organisation without a row may start. The caller holds mu.
func (c *Cell) isUncapped(now time.Time, j *jobState) bool {
	if !c.cfg.AwaitQuota {
		return true
	}
	if o := c.catalog.Organisations[j.def.Organisation]; o != nil {
		return o.Cap == workload.Resources{}
	}
	return c.catalog.Version > 0 && now.Sub(j.def.AcceptedAt) >= unknownOrganisationWait
}

// isOverCap reports whether a task of a job would not start again if it were stopped, because its organisation holds more than its limit. The
// caller holds mu.
func (c *Cell) isOverCap(j *jobState) bool {
	a := c.caps.accounts[j.def.Organisation]
	return a != nil && a.Known() && a.Over()
}

// beginCapPlan prepares the accounts for a plan. The caller holds mu.
func (c *Cell) beginCapPlan() {
	for _, a := range c.caps.accounts {
		a.waiting, a.largest, a.waitingTasks = quota.Amounts{}, quota.Amounts{}, 0
	}
	c.countUnknown()
}

// waitForCap records that a unit waits for the limit of its organisation. The caller holds mu.
func (c *Cell) waitForCap(u *unit) {
	u.waitsForCap = true
	a := c.account(u.job.def.Organisation)
	if !a.Known() {
		return
	}
	charge := a.Charge(sizeOf(u.def())).Times(u.size)
	a.waiting, a.largest = a.waiting.Add(charge), a.largest.Max(charge)
	a.waitingTasks += u.size
}

// endCapPlan tells the allocator at once if tasks have begun to wait for a limit. demanded is what capDemanded returned before the plan. The caller
// holds mu.
func (c *Cell) endCapPlan(now time.Time, demanded int) {
	if c.cfg.DemandChanged != nil && c.capDemanded() > demanded && now.Sub(c.caps.wokenAt) >= demandWakeInterval {
		c.caps.wokenAt = now
		c.cfg.DemandChanged()
	}
}

// capDemanded returns the number of organisations of which tasks wait for the limit. The caller holds mu.
func (c *Cell) capDemanded() int {
	count := 0
	for _, a := range c.caps.accounts {
		if a.waitingTasks > 0 {
			count++
		}
	}
	return count
}

// countUnknown bounds what runs of earlier owners may hold on runners that have not responded: each unit that may run there counts once. The
// caller holds mu.
func (c *Cell) countUnknown() {
	unknown := map[string]quota.Amounts{}
	if len(c.unresolved) > 0 {
		for _, j := range c.jobs {
			a := c.caps.accounts[j.def.Organisation]
			if j.def.Organisation == "" || a == nil || !a.Known() || j.state.Terminal() {
				continue
			}
			for _, occ := range j.occs {
				for i := range occ.steps {
					for _, u := range occ.steps[i].units {
						if u.mayHaveUnknownRun() && c.awaitsUnresolved(u) {
							unknown[j.def.Organisation] = unknown[j.def.Organisation].Add(a.Charge(sizeOf(u.def())).Times(u.size))
						}
					}
				}
			}
		}
	}
	for organisation, a := range c.caps.accounts {
		if !a.Known() {
			continue
		}
		if len(c.unresolved) > 0 && c.caps.endedHere[organisation] {
			// The tasks of ended jobs are not known any more.
			a.SetUnknown(a.Cap())
			continue
		}
		a.SetUnknown(unknown[organisation])
	}
}

// mayHaveUnknownRun reports whether an earlier owner may have started the unit and no run of it is part of the state.
func (u *unit) mayHaveUnknownRun() bool {
	return u.recovered && len(u.runs) == 0 && (u.phase == phaseReady || u.phase == phaseBlocked)
}

// listQuota sets the fields of an ownership row that acknowledge limits. The caller holds mu.
func (c *Cell) listQuota(o *Ownership) {
	if c.caps.version == 0 || c.awaitsRunners {
		o.Quota, o.QuotaOver = c.caps.inherited, c.caps.inheritedOver
		return
	}
	c.countUnknown()
	for organisation, a := range c.caps.accounts {
		if !a.Known() {
			continue
		}
		o.Quota = c.caps.version
		if a.Over() {
			if o.QuotaOver == nil {
				o.QuotaOver = map[string]quota.Amounts{}
			}
			o.QuotaOver[organisation] = a.Held()
		}
	}
}

// demands returns the organisations that use more than half of their limits or have tasks that wait for them. The caller holds mu.
func (c *Cell) demands() map[string]quota.Demand {
	var demands map[string]quota.Demand
	for _, organisation := range slices.Sorted(maps.Keys(c.caps.accounts)) {
		a := c.caps.accounts[organisation]
		if !a.Known() || a.waitingTasks == 0 && !a.UsesHalf() || len(demands) == maxReportedDemands {
			continue
		}
		if demands == nil {
			demands = map[string]quota.Demand{}
		}
		demands[organisation] = quota.Demand{Used: a.Held(), Waiting: a.waiting, Largest: a.largest}
	}
	return demands
}
