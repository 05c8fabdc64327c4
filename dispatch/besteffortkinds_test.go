package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/workload"
)

// Accepted jobs must run soon whatever their images, estimates and steps (the class of TestAcceptedBestEffortJobsRunSoonAfterOverload).
func TestAcceptedBestEffortJobsOfManyKindsRunSoonAfterOverload(t *testing.T) {
	playKinds(t, map[string]func(job *workload.Job, number int){
		"an image for each job":     func(job *workload.Job, n int) { setImage(job, fmt.Sprint("fill", n)) },
		"four images":               func(job *workload.Job, n int) { setImage(job, fmt.Sprint("fill", n%4)) },
		"twenty images":             func(job *workload.Job, n int) { setImage(job, fmt.Sprint("fill", n%20)) },
		"a new image every 10 jobs": func(job *workload.Job, n int) { setImage(job, fmt.Sprint("fill", n/10)) },
		"without estimates": func(job *workload.Job, _ int) {
			for i := range job.Steps {
				job.Steps[i].Estimated = 0
			}
		},
		"estimates of a fifth": func(job *workload.Job, _ int) {
			for i := range job.Steps {
				job.Steps[i].Estimated /= 5
			}
		},
		"five steps": func(job *workload.Job, _ int) {
			for i := range job.Steps {
				job.Steps[i].Count = max(job.Steps[i].Count*2/5, 1)
			}
			for len(job.Steps) < 5 {
				step := job.Steps[0]
				step.After = []int{len(job.Steps) - 1}
				job.Steps = append(job.Steps, step)
			}
		},
	})
}

// playKinds plays an overload for each way of changing its jobs.
func playKinds(t *testing.T, kinds map[string]func(job *workload.Job, number int)) {
	t.Helper()
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, mixedTimes)
				c, _ := cl.startOwner("a", true)
				o := &overload{cluster: cl, rng: rand.New(rand.NewPCG(1, 2)), ranAt: map[string]time.Time{}, change: change}
				o.owner.Store(c)
				go o.watch()
				time.Sleep(2 * time.Second)
				o.run(overloadTime, 500*time.Millisecond, nil)
				time.Sleep(finishTime)
				idle := o.idleJobs(idleTime)
				o.logResult()
				assert.Equal(t, len(idle), 0, "%d of %d accepted jobs had nothing running for %v", len(idle), len(o.accepted), idleTime)
			})
		})
	}
}

func setImage(job *workload.Job, image string) {
	for i := range job.Steps {
		job.Steps[i].Image = image
	}
}

// A task that no runner takes made the pool count as overloaded: its yield fell to the least one, and jobs that would start at once were refused by
// an idle cell for as long as that task waited.
func TestIdleCellTakesBestEffortJobsBesideATaskThatNoRunnerTakes(t *testing.T) {
	for name, change := range map[string]func(step *workload.Step){
		"larger than each runner": func(step *workload.Step) { step.Resources.CPU = 65_000 },
		"more memory than each":   func(step *workload.Step) { step.Resources.MemoryMB = 257_000 },
		"beyond its anti-affinity": func(step *workload.Step) {
			step.Count, step.MaxPerRunner, step.Estimated = 5, 1, time.Minute
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, func(task workload.TaskID, _ int) (time.Duration, bool) {
					if task.Job == fmt.Sprintf("%016x", 1) {
						return time.Minute, false
					}
					return time.Second, false
				})
				c, _ := cl.startOwner("a", true)
				time.Sleep(2 * time.Second)
				stuck := tasks(1, 1000)
				stuck.BestEffort, stuck.Image = true, "fill"
				change(&stuck)
				cl.submit(c, jobOf(1, stuck))
				time.Sleep(20 * time.Second)
				refused := 0
				for i := range 10 {
					step := tasks(4, 4000)
					step.BestEffort, step.Image = true, "fill"
					if outcome, _ := c.Submit(t.Context(), jobOf(2+i, step), false); outcome != dispatch.OutcomeAccepted {
						refused++
					}
					time.Sleep(2 * time.Second)
				}
				assert.Equal(t, refused, 0, "an idle cell refused %d of 10 jobs", refused)
			})
		})
	}
}

// work returns the estimated work of a job, in core-seconds.
func work(job *workload.Job) float64 {
	sum := 0.0
	for i := range job.Steps {
		s := &job.Steps[i]
		sum += float64(s.Count) * float64(s.Resources.CPU) / 1000 * s.Estimated.Seconds()
	}
	return sum
}

// The largest tenth of the jobs, and the fifth below it, must be accepted at least half as often as all of them.
func TestLargeBestEffortJobsAreNotRefusedAlone(t *testing.T) {
	for name, test := range map[string]struct {
		interval time.Duration
		spread   int
	}{
		"sizes as in overload":                  {500 * time.Millisecond, 1},
		"twice the overload":                    {250 * time.Millisecond, 1},
		"one in ten jobs is four times as wide": {600 * time.Millisecond, 4},
		"one in ten jobs is ten times as wide":  {900 * time.Millisecond, 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, mixedTimes)
				c, _ := cl.startOwner("a", true)
				o := &overload{cluster: cl, rng: rand.New(rand.NewPCG(1, 2)), ranAt: map[string]time.Time{}, change: func(job *workload.Job, n int) {
					if n%10 == 0 {
						for i := range job.Steps {
							job.Steps[i].Count *= test.spread
						}
					}
				}}
				o.owner.Store(c)
				time.Sleep(2 * time.Second)
				o.run(overloadTime, test.interval, nil)
				all := append(slices.Clone(o.accepted), o.refused...)
				slices.SortFunc(all, func(a, b *workload.Job) int { return int(work(b) - work(a)) })
				accepted := func(jobs []*workload.Job) float64 {
					n := 0
					for _, job := range jobs {
						if slices.Contains(o.accepted, job) {
							n++
						}
					}
					return float64(n) / float64(len(jobs))
				}
				tenth := len(all) / 10
				share, largest, below := accepted(all), accepted(all[:tenth]), accepted(all[tenth:3*tenth])
				t.Logf("accepted of %d: all %.2f, largest tenth %.2f, fifth below %.2f", len(all), share, largest, below)
				assert.Assert(t, largest >= share/2 && below >= share/2, "all %.2f, largest tenth %.2f, fifth below %.2f", share, largest, below)
			})
		})
	}
}
