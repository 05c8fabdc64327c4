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

// step is one step of a random history: an action followed by a wait.
type step struct {
	action     string
	argA, argB int
	wait       time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)+%s", s.action, s.argA, s.argB, s.wait) }

// faultActions are the faults and commands that occur in a history. Each takes two numbers that select its target and
// duration. Random histories depend on the sort order of the names.
var faultActions = map[string]func(cl *cluster, a, b int){
	"submit batch": func(cl *cluster, a, b int) { cl.submitNext(1+a%6, time.Duration(2+b)*time.Second, nil) },
	"submit standing": func(cl *cluster, a, _ int) {
		cl.submitNext(1+a%2, 0, func(s *job.TaskSpec) { s.Class = job.ClassStanding })
	},
	"submit service": func(cl *cluster, a, _ int) {
		cl.submitNext(1+a%3, 0, func(s *job.TaskSpec) {
			s.Class, s.Service, s.Priority = job.ClassService, "kioscos", job.PriorityService
		})
	},
	"submit urgent": func(cl *cluster, a, b int) {
		cl.submitNext(1+a%2, time.Duration(1+b)*time.Second, func(s *job.TaskSpec) {
			s.Priority, s.Resources.CPUMilli = job.PriorityUrgent, 3000
		})
	},
	"submit bound": func(cl *cluster, a, b int) {
		cl.submitNext(1+a%2, time.Duration(2+b)*time.Second, func(s *job.TaskSpec) { s.Constraints.Domain = cl.pickDomain(a) })
	},
	"cancel newest": func(cl *cluster, _, _ int) { cl.cancelNth(1) },
	"cancel older":  func(cl *cluster, a, _ int) { cl.cancelNth(1 + a) },
	"kill owner":    func(cl *cluster, a, _ int) { cl.ownerNode(a).kill() },
	"stop owner":    func(cl *cluster, a, _ int) { cl.ownerNode(a).stop() },
	"freeze owner": func(cl *cluster, a, b int) {
		n := cl.ownerNode(a)
		n.suspend()
		time.AfterFunc(time.Duration(1+b)*time.Second, n.resume)
	},
	"cut owner from table": func(cl *cluster, a, b int) {
		n := cl.ownerNode(a)
		n.cutTable(true)
		time.AfterFunc(time.Duration(1+2*b)*time.Second, func() { n.cutTable(false) })
	},
	"cut owner from worker": func(cl *cluster, a, b int) {
		n, f := cl.ownerNode(a), cl.pickWorker(b)
		cl.net.setCut(n.vm.ID, f.vm.ID, true)
		time.AfterFunc(time.Duration(3+b)*time.Second, func() { cl.net.setCut(n.vm.ID, f.vm.ID, false) })
	},
	"restart nodes":  func(cl *cluster, _, _ int) { cl.restartNodes() },
	"restart worker": func(cl *cluster, a, _ int) { cl.pickWorker(a).crash(); cl.pickWorker(a).boot() },
	"crash worker": func(cl *cluster, a, b int) {
		f := cl.pickWorker(a)
		f.crash()
		time.AfterFunc(time.Duration(1+2*b)*time.Second, f.bootIfDead)
	},
	"freeze worker": func(cl *cluster, a, b int) {
		f := cl.pickWorker(a)
		f.suspend()
		time.AfterFunc(time.Duration(1+2*b)*time.Second, f.resume)
	},
	"failing worker": func(cl *cluster, a, b int) { cl.pickWorker(a).setFailAll(b%2 == 0) },
	"table down":     func(cl *cluster, _, _ int) { cl.table.SetFaults(standin.TableFaults{Down: true}) },
	"table slow": func(cl *cluster, a, _ int) {
		cl.table.SetFaults(standin.TableFaults{Delay: time.Duration(a) * 150 * time.Millisecond})
	},
	"answers lost": func(cl *cluster, a, b int) {
		cl.table.SetFaults(standin.TableFaults{LoseResponses: 1 + a%4, LoseRequests: b % 4})
	},
	"domain cut off": func(cl *cluster, a, _ int) {
		cl.table.SetFaults(standin.TableFaults{CutDomains: []string{cl.pickDomain(a)}})
	},
	"table well":      func(cl *cluster, _, _ int) { cl.table.SetFaults(standin.TableFaults{}) },
	"packets lost":    func(cl *cluster, a, _ int) { cl.net.setFaults(netFaults{dropPercent: 3 * a}) },
	"packets late":    func(cl *cluster, a, b int) { cl.net.setFaults(netFaults{dropPercent: b, latePercent: 3 * a}) },
	"packets well":    func(cl *cluster, _, _ int) { cl.net.setFaults(netFaults{}) },
	"domain out":      func(cl *cluster, a, _ int) { cl.setDomain(cl.pickDomain(a), ledger.DomainOut) },
	"domain in":       func(cl *cluster, a, _ int) { cl.setDomain(cl.pickDomain(a), ledger.DomainIn) },
	"nothing happens": func(*cluster, int, int) {},
}

func (cl *cluster) submitNext(tasks int, runtime time.Duration, change func(*job.TaskSpec)) {
	cl.submit(fmt.Sprintf("j%02d", len(cl.accepted())), tasks, runtime, change)
}

func (cl *cluster) cancelNth(n int) {
	if jobs := cl.accepted(); n <= len(jobs) {
		cl.cancelJob(jobs[len(jobs)-n].ID)
	}
}

func (cl *cluster) pickDomain(i int) string { return cl.layout.domainName(i % cl.layout.domains) }

func (cl *cluster) pickWorker(i int) *fakeWorker {
	ids := sortedKeys(cl.workers)
	return cl.workers[ids[i%len(ids)]]
}

// ownerNode returns the node that the ownership row of a cell names, or another node if there is none.
func (cl *cluster) ownerNode(i int) *node {
	cl.mu.Lock()
	ids := sortedKeys(cl.nodes)
	cl.mu.Unlock()
	holder := cl.owner(cl.pickDomain(i)).Holder
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if n := cl.nodes[holder]; n != nil {
		return n
	}
	return cl.nodes[ids[i%len(ids)]]
}

func (cl *cluster) restartNodes() {
	for _, vm := range cl.listVMs() {
		cl.mu.Lock()
		n := cl.nodes[vm.ID]
		cl.mu.Unlock()
		if n != nil && (n.isDead() || ended(n)) {
			cl.startNode(vm)
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

// healAll removes every fault.
func (cl *cluster) healAll() {
	cl.table.SetFaults(standin.TableFaults{})
	cl.net.heal()
	for _, n := range cl.nodes {
		n.resume()
		n.cutTable(false)
	}
	cl.restartNodes()
	for _, id := range sortedKeys(cl.workers) {
		f := cl.workers[id]
		f.setFailAll(false)
		f.resume()
		f.bootIfDead()
	}
	for d := range cl.layout.domains {
		cl.setDomain(cl.layout.domainName(d), ledger.DomainIn)
	}
}

// unfinished returns the batch tasks and the tasks of cancelled jobs without a recorded outcome.
func (cl *cluster) unfinished() []string {
	cancelled := map[string]bool{}
	for _, row := range cl.scan(ledger.CancelPrefix) {
		cancelled[strings.TrimPrefix(row.Key, ledger.CancelPrefix)] = true
	}
	done := map[string]bool{}
	for _, row := range cl.scan("done/") {
		done[strings.TrimPrefix(row.Key, "done/")] = true
	}
	var unfinished []string
	for _, j := range cl.accepted() {
		for i := range j.Tasks {
			id := string(job.MakeTaskID(j.ID, i))
			if !done[id] && (cancelled[j.ID] || j.Spec.Class == job.ClassBatch) {
				unfinished = append(unfinished, id)
			}
		}
	}
	return unfinished
}

// finishTimeout is longer than the offline limit of these histories plus every lease and backoff.
const finishTimeout = 6 * time.Minute

// runHistory runs a history and returns the violations.
func runHistory(t *testing.T, seed uint64, steps []step) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		l := layout{domains: 2, nodes: 2, workers: 3, capacity: fourTaskCapacity, seed: seed, offline: time.Minute}
		cl := newCluster(t, l)
		defer cl.close()
		cl.start()
		time.Sleep(2 * time.Second)
		for _, s := range steps {
			faultActions[s.action](cl, s.argA, s.argB)
			time.Sleep(s.wait)
		}
		cl.healAll()
		limit := time.Now().Add(finishTimeout)
		for time.Now().Before(limit) && len(cl.unfinished()) > 0 {
			// A node that is still shutting down is restarted once it has ended.
			cl.restartNodes()
			time.Sleep(time.Second)
		}
		for _, id := range cl.unfinished() {
			violations = append(violations, "not finished: "+id)
		}
		violations = append(violations, cl.violations()...)
	})
	return violations
}

// historyCount returns the number of histories to run. CELL_CHECKS overrides it for a longer search.
func historyCount() int {
	if n, err := strconv.Atoi(os.Getenv("CELL_CHECKS")); err == nil {
		return n
	}
	return 40
}

// G1 to G4 hold and no task is lost under random combinations of faults: killed, suspended or cut-off owners, so that two
// candidates act as owner at once; crashed, restarted or suspended workers; delayed, lost or reordered messages and commits;
// a slow or unavailable table; domains taken out while cut off; and cancellations that race with starts.
func TestGuaranteesUnderFaults(t *testing.T) {
	names := sortedKeys(faultActions)
	stepGenerator := rapid.Custom(func(rt *rapid.T) step {
		return step{
			action: rapid.SampledFrom(names).Draw(rt, "what"),
			argA:   rapid.IntRange(0, 11).Draw(rt, "a"),
			argB:   rapid.IntRange(0, 11).Draw(rt, "b"),
			wait:   time.Duration(rapid.SampledFrom([]int{0, 10, 300, 1000, 2500, 6000, 13000}).Draw(rt, "wait")) * time.Millisecond,
		}
	})
	generator := rapid.Custom(func(rt *rapid.T) []step { return rapid.SliceOfN(stepGenerator, 5, 30).Draw(rt, "steps") })
	for n := range historyCount() {
		steps := generator.Example(n)
		if violations := runHistory(t, uint64(n), steps); len(violations) > 0 {
			t.Errorf("history %d: %v\n%s", n, steps, strings.Join(violations[:min(len(violations), 8)], "\n"))
			if t.Failed() && !testing.Verbose() {
				return
			}
		}
	}
}
