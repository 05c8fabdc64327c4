package dispatch_test

import (
	"context"
	"slices"
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

// pacedFleet is a fleet that keeps the speed of each run.
type pacedFleet struct {
	*emulator.Fleet
	mu       sync.Mutex // guards the fields below
	speeds   map[workload.TaskID]int
	serving  map[workload.TaskID]float64 // measurements of serving tasks
	percents map[workload.TaskID]int
	// losesPaces makes the fleet execute pace commands without a response.
	losesPaces bool
	// history holds the speeds of all pace commands.
	history []int
}

func newPacedFleet(f *emulator.Fleet) *pacedFleet {
	return &pacedFleet{Fleet: f, speeds: map[workload.TaskID]int{}, serving: map[workload.TaskID]float64{}, percents: map[workload.TaskID]int{}}
}

func (f *pacedFleet) Pace(ctx context.Context, target runner.Target, task workload.TaskID, run, percent int, token int64) error {
	err := f.Fleet.Pace(ctx, target, task, run, percent, token)
	f.mu.Lock()
	lost := f.losesPaces
	f.history = append(f.history, percent)
	if err == nil {
		f.speeds[task] = percent
	}
	f.mu.Unlock()
	if err == nil && lost {
		time.Sleep(time.Second)
		return context.DeadlineExceeded
	}
	return err
}

func (f *pacedFleet) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	clock, err := f.Fleet.Start(ctx, target, command)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.speeds, command.Task)
	}
	return clock, err
}

func (f *pacedFleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	report, err := f.Fleet.Hold(ctx, target, command)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range report.Running {
		row := &report.Running[i]
		if tail, ok := f.serving[row.Task]; ok {
			row.Measurement, row.HasMeasurement, row.Percent = tail, true, 100
			continue
		}
		if speed, ok := f.speeds[row.Task]; ok && speed == 0 {
			row.Percent = f.percents[row.Task]
		} else {
			f.percents[row.Task] = row.Percent
		}
	}
	return report, err
}

func (f *pacedFleet) setTail(task workload.TaskID, ms float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving[task] = ms
}

func (f *pacedFleet) setLosesPaces(loses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesPaces = loses
}

func (f *pacedFleet) commanded() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

func (f *pacedFleet) speed(task workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if speed, ok := f.speeds[task]; ok {
		return speed
	}
	return 100
}

// serveAndFill starts a serving task and a best-effort task of 30 s on the only runner of a cell, and pauses the latter once
// it has passed half of its work, after which it is no longer moved.
func serveAndFill(t *testing.T, f *pacedFleet, cl *cluster, c *dispatch.Cell) (serving, filling workload.TaskID) {
	t.Helper()
	serve, fill := longRunning(1, 8000), tasks(1, 4000)
	serve.LatencyTarget, serve.Image = 100*time.Millisecond, "serve"
	fill.BestEffort, fill.Image, fill.Estimated = true, "fill", 30*time.Second
	first, second := jobOf(1, serve), jobOf(2, fill)
	serving, filling = workload.TaskID{Job: first.ID}, workload.TaskID{Job: second.ID}
	f.setTail(serving, 10)
	cl.submit(c, first)
	time.Sleep(3 * time.Second)
	cl.submit(c, second)
	time.Sleep(18 * time.Second)
	assert.Equal(t, cl.fleet.Running("r0"), 2)
	f.setTail(serving, 500)
	for waited := 0; f.speed(filling) > 0 && waited < 100; waited++ {
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, cl.startsOf(second), 1)
	assert.Equal(t, f.speed(filling), 0, "the best-effort task is not paused")
	return serving, filling
}

func servingWork(task workload.TaskID, _ int) (time.Duration, bool) {
	if task.Job == jobOf(1).ID {
		return 24 * time.Hour, false
	}
	return 30 * time.Second, false
}

// A new owner takes each adopted best-effort task to run at full speed. A task that its predecessor had paused stays paused,
// because the new owner sees no need to change its speed.
func TestPausedTaskContinuesAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, servingWork)
		f := newPacedFleet(cl.fleet)
		first, stopFirst := cl.startOwnerWith("a", true, cl.store, f)
		serving, filling := serveAndFill(t, f, cl, first)
		stopFirst()
		<-first.Done()
		f.setTail(serving, 10)
		starts := len(cl.fleet.Starts())
		next, stop := cl.startOwnerWith("b", true, cl.store, f)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(cl.fleet.Starts()), starts, "the task was stopped instead of being continued")
		assert.Equal(t, f.speed(filling), 100)
		stop()
		<-next.Done()
	})
}

// A pace command that is executed without a response counts as not executed. If the speed that the owner wants next is the
// one before that command, it sends none, and the task stays paused.
func TestTaskContinuesAfterPauseWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, servingWork)
		f := newPacedFleet(cl.fleet)
		c, stop := cl.startOwnerWith("a", true, cl.store, f)
		f.setLosesPaces(true)
		serving, filling := serveAndFill(t, f, cl, c)
		f.setTail(serving, 10)
		starts := len(cl.fleet.Starts())
		time.Sleep(2 * time.Second)
		f.setLosesPaces(false)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(cl.fleet.Starts()), starts, "the task was stopped instead of being continued")
		assert.Equal(t, f.speed(filling), 100)
		stop()
		<-c.Done()
	})
}

// Without faults, each change of a speed is commanded once, because each call is priced.
func TestEachSpeedIsCommandedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, servingWork)
		f := newPacedFleet(cl.fleet)
		c, stop := cl.startOwnerWith("a", true, cl.store, f)
		serving, filling := serveAndFill(t, f, cl, c)
		time.Sleep(4 * time.Second)
		f.setTail(serving, 10)
		time.Sleep(16 * time.Second)
		assert.Equal(t, f.speed(filling), 100)
		assert.DeepEqual(t, f.commanded(), []int{0, 100})
		stop()
		<-c.Done()
	})
}
