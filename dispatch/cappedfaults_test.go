package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/quota"
)

// cappedPlay is a play of mixed faults in which all jobs belong to an organisation with a cap.
type cappedPlay struct {
	cluster *cluster
	limits  *limitRows
	// broken is what broke first.
	broken string

	mu sync.Mutex // guards row
	// row is the last row that was written, as far as is known.
	row quota.VersionedRow
}

const (
	// playLimit and playLowered are the limits of a play, in thousandths of a core. The long-running tasks of a play need 24,000, and all tasks
	// together about 90,000 at a time.
	playLimit   = 56_000
	playLowered = 40_000
)

// begin writes the limit and checks it from now on.
func (p *cappedPlay) begin(cl *cluster) {
	p.cluster, p.limits = cl, cl.limits()
	p.set(playLimit, 0)
	go func() {
		for wait.For(cl.t.Context(), 50*time.Millisecond) {
			p.check()
		}
	}()
}

// lower lowers the limit.
func (p *cappedPlay) lower() { p.set(playLowered, playLimit) }

func (p *cappedPlay) set(limit, before int64) {
	p.limits.set(cellName, limit, before, playLimit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.row = quota.VersionedRow{Row: p.limits.row, Version: p.limits.version}
}

// follow passes the limits to an owner, later ones less often, whether it has a successor or not.
func (p *cappedPlay) follow(c *dispatch.Cell, number int) {
	go func() {
		for wait.For(p.cluster.t.Context(), time.Duration(number)*150*time.Millisecond) {
			page, err := p.cluster.store.Range(p.cluster.t.Context(), quota.Table, "", "", "", 0)
			if err != nil {
				continue
			}
			rows := map[string]quota.VersionedRow{}
			for _, row := range page.Rows {
				if decoded, err := quota.Decode(row.Value); err == nil {
					rows[row.Key.Name] = quota.VersionedRow{Row: decoded, Version: row.Version}
				}
			}
			c.SetQuota(rows, page.Version)
		}
	}()
}

// check compares what runs on all runners with the limit, or while that is not acknowledged with the former one.
func (p *cappedPlay) check() {
	owner, version, err := dispatch.ReadOwner(p.cluster.t.Context(), p.cluster.store, cellName)
	if err != nil || version == 0 || p.broken != "" {
		return
	}
	p.mu.Lock()
	row := p.row
	p.mu.Unlock()
	bound := row.Cells[cellName].Bound()[0]
	if owner.Quota >= row.Version {
		bound = max(row.Cells[cellName].Limit[0], owner.QuotaOver["x"][0])
	}
	held := int64(0)
	for task, runners := range p.cluster.fleet.Runs() {
		cpu := int64(4000)
		switch task.Job {
		case fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 3):
			cpu = 8000
		}
		held += cpu * int64(len(runners))
	}
	if held > bound {
		p.broken = fmt.Sprintf("%d is held of %d; acknowledged %d of %d", held, bound, owner.Quota, row.Version)
	}
}

// Whatever fails, and whoever believes to own the cell, its runs must hold no more than the limit allows, also while it is lowered, and all
// jobs must be completed in the end.
func TestMixedFaultsBreakNoLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const owners, runners, steps = 4, 3, 8
		var plan []mixedStep
		for range steps {
			s := drawMixedStep(rt, owners, runners)
			s.Quick = rapid.Bool().Draw(rt, "quick")
			plan = append(plan, s)
		}
		synctest.Test(t, func(t *testing.T) {
			if broken := playMixedWith(t, plan, owners, runners, &cappedPlay{}); broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}
