package dispatch

import (
	"context"
	"math"
	"sort"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/workload"
)

// planSpacing groups what happens within a few milliseconds into one plan.
const planSpacing = 2 * time.Millisecond

func (c *Cell) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.planKick:
		}
		c.mu.Lock()
		if c.mayOrder(time.Now()) {
			c.plan(ctx, time.Now())
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(planSpacing):
		}
	}
}

// shape identifies units for which a placement has the same outcome within one plan.
type shape struct {
	job  *jobState
	occ  int
	step int
}

// plan starts what can be started now. The caller holds mu.
func (c *Cell) plan(ctx context.Context, now time.Time) {
	if len(c.ready) == 0 {
		return
	}
	hosts := c.hosts(now)
	c.sortReady(now)
	blocked := map[shape]bool{}
	kept := c.ready[:0:0]
	queue := c.ready
	c.ready = nil
	for _, u := range queue {
		if u.phase != phaseReady || u.job.state.Terminal() {
			continue
		}
		key := shape{u.job, u.occ, u.step}
		if blocked[key] || u.recovered && len(c.unresolved) > 0 {
			kept = append(kept, u)
			continue
		}
		if !c.place(ctx, now, u, hosts) {
			// Each lasting task reserves a runner of its own.
			blocked[key] = !u.def().LongRunning
			kept = append(kept, u)
		}
	}
	c.ready = append(c.ready, kept...)
}

// Classes of lateness, in the order in which units are started.
const (
	// classInTime can still meet its objective.
	classInTime = iota
	// classLate misses the objective but is still worth something to its client.
	classLate
	// classHopeless is too late to be worth anything; it is done when nothing else waits.
	classHopeless
)

// lateFactor is the multiple of the time from submission to objective after which a job is worth nothing.
const lateFactor = 3

func (u *unit) lateness(now time.Time) int {
	if u.def().LongRunning {
		return classInTime
	}
	latest := u.latestStart()
	allowed := u.job.objective.Sub(u.job.def.AcceptedAt)
	switch {
	case !now.After(latest):
		return classInTime
	case !now.After(latest.Add((lateFactor - 1) * allowed)):
		return classLate
	default:
		return classHopeless
	}
}

// sortReady orders units by priority, then by what meeting their objective is still possible, then by the time at which
// they must start for it. When the runners are overloaded, those that are late wait for those that are not yet.
func (c *Cell) sortReady(now time.Time) {
	for _, u := range c.ready {
		u.class = u.lateness(now)
	}
	sort.SliceStable(c.ready, func(a, b int) bool {
		x, y := c.ready[a], c.ready[b]
		if px, py := x.job.def.Policy.Priority, y.job.def.Policy.Priority; px != py {
			return px < py
		}
		if x.class != y.class {
			return x.class < y.class
		}
		return x.latestStart().Before(y.latestStart())
	})
}

// latestStart is the time at which the unit must start so that its job can meet its objective.
func (u *unit) latestStart() time.Time {
	objective := u.job.objective
	if !u.job.def.StartAt.IsZero() {
		objective = u.job.def.Due(u.occ).Add(objective.Sub(u.job.def.AcceptedAt))
	}
	return objective.Add(-u.job.chain[u.step])
}

// hosts returns the runners of the cell as placement needs them. The caller holds mu.
func (c *Cell) hosts(now time.Time) []*hostView {
	views := make([]*hostView, 0, len(c.runners))
	for _, h := range c.runners {
		p := &h.place
		p.Domain, p.Labels, p.Capacity = h.info.Domain, h.info.Labels, h.info.Capacity
		p.Available = h.present && !h.info.Draining && !c.evacuated[h.info.Domain] && h.reachable(now) && !h.namedGone &&
			!now.Before(h.roomUntil) && h.foreign == 0
		p.Far = c.cfg.Regions[h.info.Domain] != c.cfg.Region
		p.Committed, p.Transient, p.UsedCPU, p.Serving = workload.Resources{}, workload.Resources{}, 0, p.Serving[:0]
		p.Harmed, p.Reserved = false, false
		for r := range h.runs {
			def := r.unit.def()
			p.Committed = p.Committed.Add(def.Committed())
			if !def.LongRunning {
				p.Transient = p.Transient.Add(def.Committed())
			}
			p.UsedCPU += usedCPU(now, r)
			if def.LatencyTarget > 0 {
				p.Harmed = p.Harmed || !r.overSince.IsZero()
				p.Serving = append(p.Serving, placement.Serving{Image: def.Image, Room: c.room(now, r)})
			}
		}
		p.Slowdown, p.Suspect = h.health.slowdown(), h.health.suspect(now)
		views = append(views, &hostView{host: h, place: p})
	}
	sort.Slice(views, func(a, b int) bool { return views[a].place.ID < views[b].place.ID })
	return views
}

type hostView struct {
	host  *host
	place *placement.Host
}

// place starts a unit if there is room for all its members, and reports whether it did. The caller holds mu.
func (c *Cell) place(ctx context.Context, now time.Time, u *unit, views []*hostView) bool {
	service := c.serviceOf(u.job)
	byID := map[string]*hostView{}
	hosts := c.serviceHosts(service, views)
	for _, v := range views {
		byID[v.place.ID] = v
	}
	advised := u.job.def.Policy.Advised
	if advised {
		permitted := c.adviceOf(u).permitted(now, hosts)
		if len(permitted) == 0 {
			c.askAdvice(ctx, now, u, hosts)
			return false
		}
		hosts = permitted
	}
	def := u.def()
	onRunner := u.stepState().onRunner
	taken := map[string]int{}
	request := &placement.Request{Step: def, Avoid: u.avoid,
		OnHost: func(id string) int { return onRunner[id] + taken[id] },
		Pressure: func(serving string) float64 {
			return c.pressure.Coefficient(interference.Pair{Serving: serving, Filling: def.Image})
		}}
	chosen := make([]*hostView, 0, u.size)
	for range u.size {
		best := placement.Pick(request, hosts)
		if best == nil {
			break
		}
		chosen = append(chosen, byID[best.ID])
		taken[best.ID]++
		reserve(best, request)
	}
	if len(chosen) < u.size {
		// The views are rebuilt for the next plan; until then the runners look fuller than they are.
		if advised {
			c.askAdvice(ctx, now, u, c.serviceHosts(service, views))
		}
		if def.LongRunning && u.size == 1 {
			// Short tasks take each small piece of room as it comes, so a large lasting task would never find enough.
			if reserved := placement.Reserve(request, hosts); reserved != nil {
				reserved.Reserved = true
			}
		}
		return false
	}
	c.cfg.Metrics.startWait.Observe(now.Sub(u.readyAt).Seconds())
	number := u.run + 1
	u.phase = phaseActive
	for member, v := range chosen {
		c.beginRun(ctx, now, u, member, number, v.host)
	}
	return true
}

func (c *Cell) serviceHosts(service string, views []*hostView) []*placement.Host {
	hosts := make([]*placement.Host, 0, len(views))
	for _, v := range views {
		if v.host.info.Service == service {
			hosts = append(hosts, v.place)
		}
	}
	return hosts
}

// reserve notes on a view that a task was placed there.
func reserve(p *placement.Host, r *placement.Request) {
	p.Committed = p.Committed.Add(r.Step.Committed())
	p.UsedCPU += expectedCPU(r.Step)
	if r.Step.Fills {
		share := float64(r.Step.Resources.CPU) / float64(max(p.Capacity.CPU, 1))
		for i := range p.Serving {
			p.Serving[i].Room -= r.Pressure(p.Serving[i].Image) * share
		}
	}
	if r.Step.LatencyTarget > 0 {
		p.Serving = append(p.Serving, placement.Serving{Image: r.Step.Image, Room: newServingRoom})
	}
}

const (
	// newServingRoom is assumed of a serving task that has just started.
	newServingRoom = 0.2
	// servingUse is the share of its processor time that a serving task is expected to use before its load is known.
	servingUse = 0.6
	// servingMargin is added to the learned load of a serving task, which moves between two reports.
	servingMargin = 0.05
)

// expectedCPU returns the processor time that a task of a step is expected to use, in thousandths of a core.
func expectedCPU(def *workload.Step) int64 {
	if def.LatencyTarget > 0 {
		return int64(servingUse * float64(def.Resources.CPU))
	}
	return def.Resources.CPU
}

// usedCPU returns the processor time that a run is expected to use, in thousandths of a core. A serving task that
// responds within its target uses the share of its processors that its load takes.
func usedCPU(now time.Time, r *run) int64 {
	def := r.unit.def()
	switch {
	case def.LatencyTarget > 0:
		return int64(math.Round(min(r.unit.stepState().load.At(now)+servingMargin, 1) * float64(def.Resources.CPU)))
	case def.Fills:
		return def.Resources.CPU * int64(r.speed) / fullSpeed
	default:
		return def.Resources.CPU
	}
}

// serviceOf returns the service that runs a job: the newest configuration that has the queue decides.
func (c *Cell) serviceOf(j *jobState) string {
	if q := c.catalog.Queue(j.def.Policy.Queue); q != nil {
		return q.Policy.Service
	}
	return j.def.Policy.Service
}
