package cell_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

// step is one step of a random history: something happens, then time passes.
type step struct {
	what string
	a, b int
	wait time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)+%s", s.what, s.a, s.b, s.wait) }

// faultActions are the faults and commands that a history is made of. Each takes two numbers that choose among its parts.
var faultActions = map[string]func(w *world, a, b int){
	"submit batch": func(w *world, a, b int) { w.submitNext(1+a%6, time.Duration(2+b)*time.Second, nil) },
	"submit standing": func(w *world, a, _ int) {
		w.submitNext(1+a%2, 0, func(s *job.TaskSpec) { s.Class = job.ClassStanding })
	},
	"submit service": func(w *world, a, _ int) {
		w.submitNext(1+a%3, 0, func(s *job.TaskSpec) {
			s.Class, s.Service, s.Priority = job.ClassService, "kioscos", job.PriorityService
		})
	},
	"submit urgent": func(w *world, a, b int) {
		w.submitNext(1+a%2, time.Duration(1+b)*time.Second, func(s *job.TaskSpec) {
			s.Priority, s.Resources.CPUMilli = job.PriorityUrgent, 3000
		})
	},
	"submit bound": func(w *world, a, b int) {
		w.submitNext(1+a%2, time.Duration(2+b)*time.Second, func(s *job.TaskSpec) { s.Constraints.Domain = w.pickDomain(a) })
	},
	"cancel newest": func(w *world, _, _ int) { w.cancelNth(1) },
	"cancel older":  func(w *world, a, _ int) { w.cancelNth(1 + a) },
	"kill owner":    func(w *world, a, _ int) { w.ownerNode(a).kill() },
	"stop owner":    func(w *world, a, _ int) { w.ownerNode(a).stop() },
	"freeze owner": func(w *world, a, b int) {
		n := w.ownerNode(a)
		n.freeze()
		time.AfterFunc(time.Duration(1+b)*time.Second, n.thaw)
	},
	"cut owner from table": func(w *world, a, b int) {
		n := w.ownerNode(a)
		n.cutTable(true)
		time.AfterFunc(time.Duration(1+2*b)*time.Second, func() { n.cutTable(false) })
	},
	"cut owner from worker": func(w *world, a, b int) {
		n, f := w.ownerNode(a), w.pickWorker(b)
		w.net.setCut(n.vm.ID, f.vm.ID, true)
		time.AfterFunc(time.Duration(3+b)*time.Second, func() { w.net.setCut(n.vm.ID, f.vm.ID, false) })
	},
	"restart nodes":  func(w *world, _, _ int) { w.restartNodes() },
	"restart worker": func(w *world, a, _ int) { w.pickWorker(a).crash(); w.pickWorker(a).boot() },
	"crash worker": func(w *world, a, b int) {
		f := w.pickWorker(a)
		f.crash()
		time.AfterFunc(time.Duration(1+2*b)*time.Second, f.bootIfDead)
	},
	"freeze worker": func(w *world, a, b int) {
		f := w.pickWorker(a)
		f.freeze()
		time.AfterFunc(time.Duration(1+2*b)*time.Second, f.thaw)
	},
	"failing worker": func(w *world, a, b int) { w.pickWorker(a).setFailAll(b%2 == 0) },
	"table down":     func(w *world, _, _ int) { w.table.SetFaults(standin.TableFaults{Down: true}) },
	"table slow": func(w *world, a, _ int) {
		w.table.SetFaults(standin.TableFaults{Delay: time.Duration(a) * 150 * time.Millisecond})
	},
	"answers lost": func(w *world, a, b int) {
		w.table.SetFaults(standin.TableFaults{LoseAnswers: 1 + a%4, LoseRequests: b % 4})
	},
	"domain cut off": func(w *world, a, _ int) {
		w.table.SetFaults(standin.TableFaults{CutDomains: []string{w.pickDomain(a)}})
	},
	"table well":      func(w *world, _, _ int) { w.table.SetFaults(standin.TableFaults{}) },
	"packets lost":    func(w *world, a, _ int) { w.net.setFaults(netFaults{dropPercent: 3 * a}) },
	"packets late":    func(w *world, a, b int) { w.net.setFaults(netFaults{dropPercent: b, latePercent: 3 * a}) },
	"packets well":    func(w *world, _, _ int) { w.net.setFaults(netFaults{}) },
	"domain out":      func(w *world, a, _ int) { w.setDomain(w.pickDomain(a), ledger.DomainOut) },
	"domain in":       func(w *world, a, _ int) { w.setDomain(w.pickDomain(a), ledger.DomainIn) },
	"nothing happens": func(*world, int, int) {},
}

func (w *world) submitNext(tasks int, runtime time.Duration, change func(*job.TaskSpec)) {
	w.submit(fmt.Sprintf("j%02d", len(w.accepted())), tasks, runtime, change)
}

func (w *world) cancelNth(n int) {
	if jobs := w.accepted(); n <= len(jobs) {
		w.cancelJob(jobs[len(jobs)-n].ID)
	}
}

func (w *world) pickDomain(i int) string { return w.layout.domainName(i % w.layout.domains) }

func (w *world) pickWorker(i int) *fakeWorker {
	ids := sortedKeys(w.workers)
	return w.workers[ids[i%len(ids)]]
}

// ownerNode returns the node that the ownership row of a cell names, or any if there is none.
func (w *world) ownerNode(i int) *node {
	w.mu.Lock()
	ids := sortedKeys(w.nodes)
	w.mu.Unlock()
	holder := w.owner(w.pickDomain(i)).Holder
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.nodes[holder]; n != nil {
		return n
	}
	return w.nodes[ids[i%len(ids)]]
}

func (w *world) restartNodes() {
	for _, vm := range w.list() {
		w.mu.Lock()
		n := w.nodes[vm.ID]
		w.mu.Unlock()
		if n != nil && (n.isDead() || ended(n)) {
			w.startNode(vm)
		}
	}
}

func (f *fakeWorker) bootIfDead() {
	f.mu.Lock()
	alive := f.alive
	f.mu.Unlock()
	if !alive {
		f.boot()
	}
}

func (f *fakeWorker) setFailAll(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failAll = fail
}

// healAll ends every fault.
func (w *world) healAll() {
	w.table.SetFaults(standin.TableFaults{})
	w.net.heal()
	for _, n := range w.nodes {
		n.thaw()
		n.cutTable(false)
	}
	w.restartNodes()
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		f.setFailAll(false)
		f.thaw()
		f.bootIfDead()
	}
	for d := range w.layout.domains {
		w.setDomain(w.layout.domainName(d), ledger.DomainIn)
	}
}

// unfinished returns the batch tasks and the tasks of cancelled jobs that have no outcome.
func (w *world) unfinished() []string {
	cancelled := map[string]bool{}
	for _, row := range w.scan(ledger.CancelPrefix) {
		cancelled[strings.TrimPrefix(row.Key, ledger.CancelPrefix)] = true
	}
	done := map[string]bool{}
	for _, row := range w.scan("done/") {
		done[strings.TrimPrefix(row.Key, "done/")] = true
	}
	var open []string
	for _, j := range w.accepted() {
		for i := range j.Tasks {
			id := string(job.MakeTaskID(j.ID, i))
			if !done[id] && (cancelled[j.ID] || j.Spec.Class == job.ClassBatch) {
				open = append(open, id)
			}
		}
	}
	return open
}

// settleTime is longer than the offline limit of these histories plus every lease and backoff.
const settleTime = 6 * time.Minute

// play runs a history and returns the violations.
func play(t *testing.T, seed uint64, steps []step) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		l := layout{domains: 2, nodes: 2, workers: 3, capacity: big, seed: seed, offline: time.Minute}
		w := newWorld(t, l)
		defer w.close()
		w.start()
		time.Sleep(2 * time.Second)
		for _, s := range steps {
			faultActions[s.what](w, s.a, s.b)
			time.Sleep(s.wait)
		}
		w.healAll()
		limit := time.Now().Add(settleTime)
		for time.Now().Before(limit) && len(w.unfinished()) > 0 {
			// A node that was told to stop before is restarted when it has ended.
			w.restartNodes()
			time.Sleep(time.Second)
		}
		for _, id := range w.unfinished() {
			violations = append(violations, "not finished: "+id)
		}
		violations = append(violations, w.violations()...)
	})
	return violations
}

// checks returns how many histories are tried. CELL_CHECKS sets more for a longer search.
func checks() int {
	if n, err := strconv.Atoi(os.Getenv("CELL_CHECKS")); err == nil {
		return n
	}
	return 40
}

// Guards G1 to G4 and "nothing is lost" against random faults, also two and more at a time: owners killed, frozen and
// cut off so that two believe they hold the cell, workers crashed, restarted and frozen, packets and commits delayed,
// lost and reordered, the table down and slow, domains out and in while cut off, and cancellations that race starts.
func TestGuaranteesUnderFaults(t *testing.T) {
	names := sortedKeys(faultActions)
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			what: rapid.SampledFrom(names).Draw(rt, "what"),
			a:    rapid.IntRange(0, 11).Draw(rt, "a"),
			b:    rapid.IntRange(0, 11).Draw(rt, "b"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 10, 300, 1000, 2500, 6000, 13000}).Draw(rt, "wait")) * time.Millisecond,
		}
	})
	generator := rapid.Custom(func(rt *rapid.T) []step { return rapid.SliceOfN(one, 5, 30).Draw(rt, "steps") })
	for n := range checks() {
		steps := generator.Example(n)
		if violations := play(t, uint64(n), steps); len(violations) > 0 {
			t.Errorf("history %d: %v\n%s", n, steps, strings.Join(violations[:min(len(violations), 8)], "\n"))
			if t.Failed() && !testing.Verbose() {
				return
			}
		}
	}
}
