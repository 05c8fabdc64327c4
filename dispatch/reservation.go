package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/workload"
)

// Before the origin names a host in its row, it asks the host to reserve places. A request costs no commit, and until it is granted the tasks
// may start at home. A reservation is only kept in memory: if it is lost, the host refuses the tasks and the origin takes them back.

const (
	// reservationTime is how long a host keeps a place. The origin names the host in a commit and asks it to take the tasks over within that time.
	reservationTime = 2500 * time.Millisecond
	// reserveCallTimeout bounds a request for reservations. It covers two trips between regions on a busy link.
	reserveCallTimeout = 1 * time.Second
)

// reservation is a place that a host keeps for a task of another cell.
type reservation struct {
	task    workload.TaskID
	step    *workload.Step
	service string
	until   time.Time
}

// refusal is the last answer of a cell that had no place.
type refusal struct {
	at time.Time
	// cpu is the size of the smallest task that was refused, in thousandths of a core; 0 if the cell takes no tasks at all.
	cpu int64
}

// excludes reports whether a cell need not be asked for places of a step yet.
func (r refusal) excludes(now time.Time, step *workload.Step) bool {
	return now.Sub(r.at) < hostBackoff && step.Committed().CPU >= r.cpu
}

// recordRefusal excludes a cell as host for a while. The caller holds mu.
func (c *Cell) recordRefusal(now time.Time, host string, cpu int64) {
	if last := c.refusedBy[host]; now.Sub(last.at) < hostBackoff {
		cpu = min(cpu, last.cpu)
	}
	c.refusedBy[host] = refusal{now, cpu}
}

// reservePlaces keeps a place for each task of a delegation, or returns why it can't. The caller holds mu.
func (c *Cell) reservePlaces(now time.Time, d *Delegation) Outcome {
	c.dropReservations(d)
	service := c.serviceOfJob(d.Job)
	var reserved []reservation
	packing := c.newRespondingPacking(now)
	packing.placeAll()
	for _, task := range d.Tasks {
		if task.Step < 0 || task.Step >= len(d.Job.Steps) {
			return OutcomeRefused
		}
		step := &d.Job.Steps[task.Step]
		if !step.LongRunning || step.Gang {
			return OutcomeRefused
		}
		if packing.place(wantedTasks{step, service, 1}) == 0 {
			c.reportFull(now, d, packing)
			return OutcomeFull
		}
		reserved = append(reserved, reservation{workload.TaskID{Job: d.Job.ID, Step: task.Step, Index: task.Index}, step, service, now.Add(reservationTime)})
	}
	c.reservations = append(c.reservations, reserved...)
	return OutcomeAccepted
}

// dropReservations removes the reservations for the tasks of a delegation. The caller holds mu.
func (c *Cell) dropReservations(d *Delegation) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool {
		return r.task.Job == d.Job.ID &&
			slices.ContainsFunc(d.Tasks, func(t DelegatedTask) bool { return t.Step == r.task.Step && t.Index == r.task.Index })
	})
}

// expireReservations removes the reservations that were not used. The caller holds mu.
func (c *Cell) expireReservations(now time.Time) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool { return !now.Before(r.until) })
}

// requestPlaces asks a host to reserve places for units, and delegates those that got one and still wait.
func (c *Cell) requestPlaces(ctx context.Context, host string, units []*unit) {
	c.mu.Lock()
	var requests []*Delegation
	for _, u := range units {
		requests = append(requests, &Delegation{Origin: c.cfg.Name, Job: u.job.def, Reserve: true, Tasks: []DelegatedTask{{Step: u.step, Index: u.first, Run: u.run}}})
	}
	c.mu.Unlock()
	outcomes, err := c.ask(ctx, reserveCallTimeout, host, requests)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, u := range units {
		u.placeRequested = false
		c.recordAnswer([]*unit{u}, outcomes[i])
	}
	if err != nil {
		c.recordRefusal(now, host, 0)
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "host": host, "tasks": len(units), "error": err.Error()}).Debug("request for places failed")
		return
	}
	granted := map[*jobState][]*unit{}
	var jobs []*jobState
	for i, u := range units {
		switch {
		case outcomes[i] == OutcomeFull:
			c.recordRefusal(now, host, u.def().Committed().CPU)
		case outcomes[i] != OutcomeAccepted:
			c.recordRefusal(now, host, 0)
		case c.mayStartDelegations(now) && c.mayDelegate(u):
			if granted[u.job] == nil {
				jobs = append(jobs, u.job)
			}
			granted[u.job] = append(granted[u.job], u)
		}
	}
	for _, j := range jobs {
		c.markDelegated(j, host, granted[j])
	}
}
