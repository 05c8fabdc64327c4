package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// logRecorder keeps the log lines of a test.
type logRecorder struct {
	mu    sync.Mutex // guards lines
	lines []map[string]any
	texts []string
}

// Write implements io.Writer for one line.
func (l *logRecorder) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return 0, err
	}
	l.lines = append(l.lines, fields)
	l.texts = append(l.texts, string(bytes.TrimSpace(line)))
	return len(line), nil
}

// waiting returns the lines about waiting tasks of a job, or of all jobs if job is nil.
func (l *logRecorder) waiting(job *workload.Job) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		if line["msg"] == "tasks wait" && (job == nil || line["request"] == job.ID) {
			found = append(found, line)
		}
	}
	return found
}

// assertLine fails the test unless the last line about the job's waiting tasks has the fields.
func (l *logRecorder) assertLine(t *testing.T, job *workload.Job, fields map[string]any) {
	t.Helper()
	lines := l.waiting(job)
	assert.Assert(t, len(lines) > 0, "no line about waiting tasks of job %s", job.ID)
	last := lines[len(lines)-1]
	for name, want := range fields {
		if number, ok := want.(int); ok {
			want = float64(number)
		}
		assert.Equal(t, last[name], want, "field %s of %v", name, last)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.texts) - 1; i >= 0; i-- {
		if l.lines[i]["msg"] == "tasks wait" && l.lines[i]["request"] == job.ID {
			t.Log(l.texts[i])
			return
		}
	}
}

// newLoggedCluster returns a cluster whose log lines are recorded.
func newLoggedCluster(t *testing.T, runners int, work emulator.Work) (*cluster, *logRecorder) {
	t.Helper()
	cl, logs := newCluster(t, runners, work), &logRecorder{}
	cl.logs = logs
	return cl, logs
}

// gauge returns the value of a gauge of the last owner for one value of its label, or of a gauge without labels.
func (cl *cluster) gauge(name, label string) int {
	cl.t.Helper()
	families, err := cl.registry.Gather()
	assert.NilError(cl.t, err)
	for _, family := range families {
		if family.GetName() != "currantthread_cell_"+name {
			continue
		}
		for _, m := range family.GetMetric() {
			if len(m.GetLabel()) == 0 || m.GetLabel()[0].GetValue() == label {
				return int(m.GetGauge().GetValue())
			}
		}
	}
	cl.t.Fatalf("gauge %s with label %s is not served", name, label)
	return 0
}

// kill makes the owner end as a killed process does: it writes nothing more.
func (cl *cluster) kill(c *dispatch.Cell, stop context.CancelFunc) {
	cl.store.SetFault(emulator.StoreSilent)
	stop()
	<-c.Done()
	cl.store.SetFault(emulator.StoreWorks)
}

// Recovered tasks wait for runners that have not reported to the new owner. Without the line that names these runners,
// such a wait looks like one for capacity.
func TestWaitForUnresolvedRunnersIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 3, fixedDuration(5*time.Second))
		first, stop := cl.startOwner("a", true)
		job := jobOf(1, tasks(9, 8000))
		cl.submit(first, job)
		time.Sleep(time.Second)
		cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
		cl.kill(first, stop)
		next, stopNext := cl.startOwner("b", false)
		time.Sleep(3500 * time.Millisecond)
		onUnreachable := 0
		for _, s := range cl.fleet.Starts() {
			if s.Runner == "r1" {
				onUnreachable++
			}
		}
		logs.assertLine(t, job, map[string]any{"why": "runners_unresolved", "unresolved": 1, "unresolved_runners": "r1",
			"tasks": onUnreachable, "cell": cellName, "level": "warning"})
		left := logs.waiting(job)[0]["left_ms"].(float64)
		assert.Assert(t, left > 6_000 && left < 10_600, "%v", left)
		assert.Equal(t, cl.gauge("waiting_tasks", "runners_unresolved"), onUnreachable)
		assert.Equal(t, cl.gauge("unresolved_runners", ""), 1)
		time.Sleep(25 * time.Second)
		assert.Equal(t, state(next, job), workload.StateCompleted)
		assert.Equal(t, cl.gauge("waiting_tasks", "runners_unresolved"), 0)
		assert.Equal(t, cl.gauge("unresolved_runners", ""), 0)
		stopNext()
		<-next.Done()
	})
}

// A task that no runner may take must be logged with the filter that excludes each runner, or a wait for capacity can't
// be told from runners that are wrongly excluded.
func TestFiltersThatExcludeRunnersAreLogged(t *testing.T) {
	cases := map[string]struct {
		// prepare changes the cluster once the cell has been running for two seconds.
		prepare  func(cl *cluster, c *dispatch.Cell)
		step     func(*workload.Step)
		excluded string
		fitting  int
	}{
		"capacity": {
			prepare: func(cl *cluster, c *dispatch.Cell) {
				cl.submit(c, jobOf(1, tasks(2, 60_000)))
				time.Sleep(100 * time.Millisecond)
			},
			excluded: "capacity=2",
		},
		"draining and not listed": {
			prepare: func(cl *cluster, c *dispatch.Cell) {
				info := cl.infos[0]
				info.Draining = true
				c.SetRunner(cl.t.Context(), info, true)
				c.SetRunner(cl.t.Context(), cl.infos[1], false)
			},
			excluded: "draining=1 not_listed=1",
		},
		"evacuated": {
			prepare:  func(_ *cluster, c *dispatch.Cell) { c.SetEvacuated(map[string]bool{"chipre": true}) },
			excluded: "evacuated=2",
		},
		"polls fail": {
			prepare: func(cl *cluster, _ *dispatch.Cell) {
				cl.fleet.Crash("r0")
				cl.fleet.Crash("r1")
				time.Sleep(4 * time.Second)
			},
			excluded: "poll_failing=2",
			fitting:  2,
		},
		"label": {
			step:     func(s *workload.Step) { s.Label = "gpu" },
			excluded: "label=2",
			fitting:  2,
		},
		"spread limit": {
			step: func(s *workload.Step) {
				s.Count, s.MaxPerRunner = 3, 1
			},
			excluded: "spread_limit=2",
			fitting:  2,
		},
		"foreign runs": {
			prepare: func(cl *cluster, c *dispatch.Cell) {
				cl.fleet.StopTime = time.Hour
				for _, id := range []string{"r0", "r1"} {
					_, err := cl.fleet.Start(cl.t.Context(), runner.Target{ID: id, Addr: id}, runner.Start{
						Task: workload.TaskID{Job: "00000000000000ff"}, Run: 1, Token: c.Epoch(), Deadline: time.Hour})
					assert.NilError(cl.t, err)
				}
				// Each runner reports within the two seconds of a poll.
				time.Sleep(3 * time.Second)
			},
			excluded: "foreign_runs=2",
			fitting:  2,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
				c, stop := cl.startOwner("a", true)
				time.Sleep(2 * time.Second)
				if tc.prepare != nil {
					tc.prepare(cl, c)
				}
				step := tasks(1, 8000)
				if tc.step != nil {
					tc.step(&step)
				}
				job := jobOf(2, step)
				cl.submit(c, job)
				time.Sleep(4 * time.Second)
				logs.assertLine(t, job, map[string]any{"why": "no_runner", "excluded": tc.excluded, "runners": 2, "passed": 0,
					"fitting": tc.fitting, "tasks": 1, "cpu": 8000})
				assert.Equal(t, cl.gauge("waiting_tasks", "no_runner"), 1)
				stop()
				<-c.Done()
				assert.Equal(t, cl.gauge("waiting_tasks", "no_runner"), 0, "the values of an ended cell must not remain")
			})
		})
	}
}

// A gang of which only some members fit must not look like a step that a runner would take.
func TestGangWithoutRoomForAllMembersIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		cl.submit(c, jobOf(1, tasks(1, 60_000)))
		gang := tasks(4, 20_000)
		gang.Gang = true
		job := jobOf(2, gang)
		cl.submit(c, job)
		time.Sleep(4 * time.Second)
		logs.assertLine(t, job, map[string]any{"why": "no_runner", "excluded": "capacity=1", "passed": 1, "members": 4,
			"members_placed": 3, "tasks": 4})
		assert.Equal(t, cl.gauge("waiting_tasks", "no_runner"), 4)
		stop()
		<-c.Done()
	})
}

// A short task that is kept off a runner reserved for a long-running task must be told from one that does not fit.
func TestReservedRunnersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		cl.submit(c, jobOf(1, tasks(1, 40_000)))
		longRunning := tasks(1, 40_000)
		longRunning.LongRunning = true
		waiting := jobOf(2, longRunning)
		cl.submit(c, waiting)
		job := jobOf(3, tasks(1, 8000))
		cl.submit(c, job)
		time.Sleep(4 * time.Second)
		logs.assertLine(t, waiting, map[string]any{"why": "no_runner", "excluded": "capacity=1", "reserved": "r0", "long_running": true})
		logs.assertLine(t, job, map[string]any{"why": "no_runner", "excluded": "reserved=1", "fitting": 1})
		stop()
		<-c.Done()
	})
}

// refusingAdvisor permits no runner.
type refusingAdvisor struct{ delay time.Duration }

func (a refusingAdvisor) Advise(ctx context.Context, _ string, _, _ int, _ []string) (map[string]string, time.Duration, error) {
	select {
	case <-time.After(a.delay):
		return nil, time.Second, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// A step that the advice service permits nowhere must be told from one whose request has no response yet.
func TestMissingAdviceIsLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		delay  time.Duration
		fields map[string]any
	}{
		"refused":     {100 * time.Millisecond, map[string]any{"refused": 20, "not_asked": 0, "pending": false}},
		"no response": {time.Hour, map[string]any{"refused": 0, "not_asked": 20, "pending": true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, logs := newLoggedCluster(t, 20, fixedDuration(time.Second))
				cl.advisor = refusingAdvisor{tc.delay}
				c, stop := cl.startOwner("a", true)
				time.Sleep(2 * time.Second)
				job := jobOf(1, tasks(8, 4000))
				job.Policy.Advised = true
				cl.submit(c, job)
				time.Sleep(3500 * time.Millisecond)
				tc.fields["why"], tc.fields["tasks"], tc.fields["runners"] = "no_ticket", 8, 20
				logs.assertLine(t, job, tc.fields)
				assert.Equal(t, cl.gauge("waiting_tasks", "no_ticket"), 8)
				stop()
				<-c.Done()
			})
		})
	}
}

// A start without a response holds its task until the runner answers or its lease ends. The line must name the runner and
// the state of the stop, or a run whose stop was given up looks like one that is being resolved.
func TestStartWithUnknownOutcomeIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		cl.fleet.SetFault("r0", emulator.RunnerUnreachable)
		job := jobOf(1, tasks(2, 8000))
		cl.submit(c, job)
		time.Sleep(4500 * time.Millisecond)
		logs.assertLine(t, job, map[string]any{"why": "start_unknown", "runner": "r0", "phase": "start_unknown", "stop": "sent",
			"run": 1, "poll_failing": true, "tasks": 2})
		assert.Equal(t, cl.gauge("waiting_tasks", "start_unknown"), 2)
		assert.Equal(t, cl.gauge("runs", "start_unknown"), 2)
		stop()
		<-c.Done()
		assert.Equal(t, cl.gauge("runs", "start_unknown"), 0)
	})
}

// A task whose stop takes long is nowhere else meanwhile, and must not be missing from the log.
func TestSlowStopIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
		cl.fleet.StopTime = 10 * time.Second
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		step := tasks(1, 24_000)
		step.LongRunning = true
		job := jobOf(1, step)
		cl.submit(c, job)
		time.Sleep(time.Second)
		used := cl.fleet.Starts()[0].Runner
		for _, info := range cl.infos {
			if info.ID == used {
				info.Draining = true
				c.SetRunner(t.Context(), info, true)
			}
		}
		time.Sleep(5 * time.Second)
		logs.assertLine(t, job, map[string]any{"why": "stopping", "runner": used, "stop": "answered", "stop_reason": "runner is draining",
			"long_running": true, "poll_failing": false})
		assert.Equal(t, cl.gauge("waiting_tasks", "stopping"), 1)
		stop()
		<-c.Done()
	})
}

// A run on a runner that stopped reporting counts as running until its lease ends. The log must show that nobody
// confirms it.
func TestRunOfSilentRunnerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 1, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		job := jobOf(1, tasks(3, 8000))
		cl.submit(c, job)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(logs.waiting(nil)), 0)
		cl.fleet.Crash("r0")
		time.Sleep(5 * time.Second)
		logs.assertLine(t, job, map[string]any{"why": "runner_silent", "runner": "r0", "phase": "running", "stop": "none",
			"poll_failing": true, "tasks": 3})
		assert.Equal(t, cl.gauge("waiting_tasks", "runner_silent"), 3)
		stop()
		<-c.Done()
	})
}

// An owner without a successful commit for the store outage tolerance starts nothing. Its tasks must not appear to wait
// for runners.
func TestSuspendedOwnerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 1, fixedDuration(11*time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		first := jobOf(1, tasks(1, 60_000))
		cl.submit(c, first)
		waiting := jobOf(2, tasks(2, 60_000))
		cl.submit(c, waiting)
		cl.store.SetFault(emulator.StoreSilent)
		time.Sleep(16 * time.Second)
		lines := logs.waiting(waiting)
		last := lines[len(lines)-1]
		assert.Equal(t, last["why"], "owner_suspended", "%v", last)
		assert.Assert(t, last["commit_ms"].(float64) >= 12_000, "%v", last)
		logs.assertLine(t, waiting, map[string]any{"why": "owner_suspended", "cell": cellName})
		assert.Assert(t, cl.gauge("waiting_tasks", "owner_suspended") >= 1)
		stop()
		<-c.Done()
	})
}

// Best-effort tasks wait as long as runners are busy, which must not fill the log. They must be logged once a runner has
// idle capacity for them.
func TestBestEffortTasksAreLoggedOnlyIfCapacityIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 1, func(task workload.TaskID, _ int) (time.Duration, bool) {
			if task.Job == jobOf(1).ID {
				return 6 * time.Second, false
			}
			return time.Hour, false
		})
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		cl.submit(c, jobOf(1, tasks(1, 60_000)))
		step := tasks(2, 8000)
		step.BestEffort, step.Label = true, "gpu"
		job := jobOf(2, step)
		cl.submit(c, job)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(logs.waiting(nil)), 0)
		assert.Equal(t, cl.gauge("waiting_tasks", "no_idle_runner"), 2)
		time.Sleep(3 * time.Second)
		logs.assertLine(t, job, map[string]any{"why": "no_runner", "excluded": "label=1", "fitting": 1, "tasks": 2})
		assert.Equal(t, cl.gauge("waiting_tasks", "no_idle_runner"), 0)
		assert.Equal(t, cl.gauge("waiting_tasks", "no_runner"), 2)
		stop()
		<-c.Done()
	})
}

// Many waiting jobs must not fill the log: the lines of each second are bounded, a step is repeated only after some
// seconds, and the number of steps left out is logged.
func TestLinesAboutWaitingTasksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 2, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		time.Sleep(2 * time.Second)
		cl.submit(c, jobOf(0, tasks(2, 64_000)))
		for i := range 300 {
			cl.submit(c, jobOf(i+1, tasks(50, 8000)))
		}
		began := time.Now()
		time.Sleep(20 * time.Second)
		perSecond, lastOf, leftOut := map[string]int{}, map[string]time.Time{}, 0
		logs.mu.Lock()
		for _, line := range logs.lines {
			at, err := time.Parse(time.RFC3339Nano, line["time"].(string))
			assert.NilError(t, err)
			switch line["msg"] {
			case "tasks wait":
				key := fmt.Sprint(line["request"], line["why"])
				if last, seen := lastOf[key]; seen {
					assert.Assert(t, at.Sub(last) >= 5*time.Second, "%v repeated after %v", key, at.Sub(last))
				}
				lastOf[key] = at
				assert.Equal(t, line["tasks"], float64(50))
			case "lines about waiting tasks were left out":
				leftOut = int(line["steps"].(float64))
			default:
				continue
			}
			perSecond[at.Truncate(100*time.Millisecond).String()]++
		}
		logs.mu.Unlock()
		total := 0
		for second, n := range perSecond {
			assert.Assert(t, n <= 8, "%d lines at %s", n, second)
			total += n
		}
		assert.Assert(t, total <= 8*int(time.Since(began).Seconds()), "%d lines", total)
		assert.Assert(t, len(lastOf) >= 30, "only %d steps were logged", len(lastOf))
		assert.Assert(t, leftOut > 200, "%d steps were left out", leftOut)
		assert.Equal(t, cl.gauge("waiting_tasks", "no_runner"), 300*50)
		stop()
		<-c.Done()
	})
}

// Tasks that run as planned must not be reported as waiting.
func TestRunningTasksAreNotLoggedAsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, logs := newLoggedCluster(t, 3, fixedDuration(8*time.Second))
		c, stop := cl.startOwner("a", true)
		longRunning := tasks(2, 8000)
		longRunning.LongRunning = true
		cl.submit(c, jobOf(1, longRunning))
		job := jobOf(2, tasks(6, 4000), tasks(4, 4000))
		cl.submit(c, job)
		later := jobOf(3, tasks(2, 4000))
		later.StartAt = time.Now().Add(10 * time.Second)
		cl.submit(c, later)
		time.Sleep(30 * time.Second)
		assert.Equal(t, state(c, job), workload.StateCompleted)
		assert.Equal(t, len(logs.waiting(nil)), 0, "%v", logs.waiting(nil))
		assert.Assert(t, !strings.Contains(strings.Join(logs.texts, ""), "left out"))
		stop()
		<-c.Done()
	})
}

// newFullDeployment returns two cells of which the second reports that it is empty and has a job with the given number of tasks, and a job
// with two tasks of the first cell that have no runner since the returned time. Eight tasks fill the second cell. The metrics are those
// of the first cell.
func newFullDeployment(t *testing.T, hostTasks int) (d *deployment, logs *logRecorder, job *workload.Job, waits time.Time) {
	t.Helper()
	d, logs = newDeployment(t, fixedDuration(emulator.Endless), 4, 4), &logRecorder{}
	d.logs = logs
	host, _ := d.own("c1", "b", d.store, d.fleet)
	origin, _ := d.own("c0", "a", d.store, d.fleet)
	time.Sleep(3 * time.Second)
	d.mu.Lock()
	d.loads["c1"] = host.LoadWithPlaces()
	d.mu.Unlock()
	d.submit(host, jobOf(2, longRunning(hostTasks, 28000)))
	job = jobOf(1, longRunning(8, 28000))
	d.submit(origin, job)
	time.Sleep(time.Second)
	d.fleet.Crash("c0-r1")
	return d, logs, job, time.Now().Add(lease)
}

// A task that was offered to a full cell again and again left no line, and its wait began anew with each round, so that it looked
// like one that had hardly waited.
func TestOfferedTasksAreLoggedWithTheirWholeWait(t *testing.T) {
	for name, fault := range map[string]peerFault{"full": peerWorks, "no response": peerLosesTakeovers} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hostTasks := 8
				if fault == peerLosesTakeovers {
					hostTasks = 4
				}
				d, logs, job, waits := newFullDeployment(t, hostTasks)
				d.setFault(fault)
				time.Sleep(time.Until(waits.Add(12 * time.Second)))
				assert.Equal(t, d.runningIn("c0", job), 6)
				assert.Equal(t, d.runningIn("c1", job), 0)
				longest := map[any]float64{}
				for _, line := range logs.waiting(job) {
					if line["cell"] == "c0" {
						longest[line["why"]] = max(longest[line["why"]], line["waited_ms"].(float64))
						if line["why"] == "offered" {
							assert.Equal(t, line["host"], "c1", "%v", line)
							assert.Equal(t, line["level"], "info")
						}
					}
				}
				assert.Assert(t, longest["no_runner"] > 6_000, "%v", longest)
				// A host that responds does so within milliseconds, so few checks find the task offered.
				assert.Assert(t, longest["offered"] > 6_000 || fault == peerWorks, "%v", longest)
				waiting := 0
				for _, reason := range []string{"offered", "no_runner", "not_planned", "owner_suspended"} {
					waiting += d.gauge("waiting_tasks", reason)
				}
				assert.Equal(t, waiting, 2)
				// The wait ends with a run.
				d.fleet.Restart("c0-r1")
				time.Sleep(10 * time.Second)
				assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 8)
				assert.Equal(t, d.gauge("waiting_tasks", "offered")+d.gauge("waiting_tasks", "no_runner"), 0)
			})
		})
	}
}

// The wait of a task that another cell has taken over ends at its origin.
func TestTakenOverTasksDoNotWaitAtTheirOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, logs := newDeployment(t, fixedDuration(emulator.Endless), 4, 4), &logRecorder{}
		d.logs = logs
		go d.reportLoads()
		_, _ = d.own("c1", "b", d.store, d.fleet)
		first, _ := d.own("c0", "a", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(8, 28000))
		d.submit(first, job)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 2)
		before := len(logs.waiting(job))
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(logs.waiting(job)), before)
		assert.Equal(t, d.gauge("waiting_tasks", "offered"), 0)
	})
}

// delegations returns how many delegations of the last owner had an outcome.
func (cl *cluster) delegations(outcome string) int {
	cl.t.Helper()
	families, err := cl.registry.Gather()
	assert.NilError(cl.t, err)
	for _, family := range families {
		if family.GetName() != "currantthread_cell_delegations_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			if m.GetLabel()[0].GetValue() == outcome {
				return int(m.GetCounter().GetValue())
			}
		}
	}
	cl.t.Fatalf("delegations with outcome %s are not counted", outcome)
	return 0
}

// linesOf returns the lines with a message.
func (l *logRecorder) linesOf(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		if line["msg"] == message {
			found = append(found, line)
		}
	}
	return found
}

// A task that waits because the cells that it is offered to are full must be told from one whose offers get no response, at the origin
// and at the host.
func TestAnswersToDelegationsAreCounted(t *testing.T) {
	for _, tc := range []struct {
		name           string
		fault          peerFault
		answer, others []string
		full           bool
	}{
		{"full", peerWorks, []string{"full"}, []string{"accepted", "refused", "changed", "not_owner", "unknown"}, true},
		{"no response", peerLosesRequests, []string{"unknown"}, []string{"accepted", "full", "refused", "changed", "not_owner"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, logs, job, waits := newFullDeployment(t, 8)
				d.setFault(tc.fault)
				time.Sleep(time.Until(waits.Add(14 * time.Second)))
				lines := logs.waiting(job)
				last := lines[len(lines)-1]
				for _, outcome := range tc.answer {
					assert.Assert(t, d.delegations(outcome) >= 3, "%s %d", outcome, d.delegations(outcome))
				}
				for _, outcome := range tc.others {
					assert.Equal(t, d.delegations(outcome), 0, outcome)
				}
				assert.Assert(t, last["offers"].(float64) >= 2, "%v", last)
				refusals := logs.linesOf("did not take tasks over, because the cell has no places")
				if !tc.full {
					assert.Equal(t, last["full_answers"], 0.0)
					assert.Equal(t, len(refusals), 0)
					return
				}
				assert.Equal(t, last["full_answers"], last["offers"])
				// One line in five seconds, whatever the number of requests.
				assert.Assert(t, len(refusals) >= 2 && len(refusals) <= 3, "%v", refusals)
				answers := 0.0
				for _, line := range refusals {
					answers += line["answers"].(float64)
					for field, want := range map[string]any{"cell": "c1", "origin": "c0", "request": job.ID, "tasks": 1.0, "cpu": 28000.0,
						"places": 0.0, "waiting": 0.0, "waiting_without_place": 0.0} {
						assert.Equal(t, line[field], want, "%s of %v", field, line)
					}
				}
				assert.Assert(t, answers > float64(len(refusals)) && answers <= float64(d.delegations("full")))
			})
		})
	}
}

// A host that answers that it is full must show the places that it has beside its own waiting tasks, and what waits there.
func TestHostWithWaitingTasksSaysWhyItIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, logs := newDeployment(t, fixedDuration(emulator.Endless), 2, 3), &logRecorder{}
		d.logs = logs
		host, _ := d.own("c1", "b", d.store, d.fleet)
		origin, _ := d.own("c0", "a", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		d.mu.Lock()
		d.loads["c1"] = host.LoadWithPlaces()
		d.mu.Unlock()
		// Two tasks take a whole runner each, and lose one.
		large := jobOf(2, longRunning(2, 60000))
		d.submit(host, large)
		small := jobOf(1, longRunning(3, 30000))
		d.submit(origin, small)
		time.Sleep(time.Second)
		d.submit(host, jobOf(3, longRunning(2, 20000)))
		time.Sleep(time.Second)
		for _, s := range d.fleet.Starts() {
			if s.Task.Job == large.ID {
				d.fleet.Crash(s.Runner)
				info := d.infoOf(s.Runner)
				host.SetRunner(t.Context(), info, false)
				break
			}
		}
		d.fleet.Crash("c0-r0")
		origin.SetRunner(t.Context(), d.infoOf("c0-r0"), false)
		time.Sleep(2 * lease)
		refusals := logs.linesOf("did not take tasks over, because the cell has no places")
		assert.Assert(t, len(refusals) > 0)
		for field, want := range map[string]any{"cell": "c1", "origin": "c0", "request": small.ID, "places": 0.0, "waiting": 1.0,
			"waiting_without_place": 1.0} {
			assert.Equal(t, refusals[0][field], want, "%s of %v", field, refusals[0])
		}
	})
}

// infoOf returns the description of a runner.
func (d *deployment) infoOf(id string) runner.Info {
	for _, infos := range d.runners {
		for _, info := range infos {
			if info.ID == id {
				return info
			}
		}
	}
	d.t.Fatalf("no runner %s", id)
	return runner.Info{}
}
