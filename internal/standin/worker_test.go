package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// scriptedOwner is a Poller that records polls and responds by a function.
type scriptedOwner struct {
	polls []infra.PollRequest
	reply func(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error)
}

func (o *scriptedOwner) Poll(ctx context.Context, _ string, req infra.PollRequest) (infra.PollResponse, error) {
	o.polls = append(o.polls, req)
	return o.reply(ctx, req)
}

var errNoResponse = errors.New("no response")

// loseResponse fails a poll like a lost response.
func loseResponse(context.Context, infra.PollRequest) (infra.PollResponse, error) {
	return infra.PollResponse{}, errNoResponse
}

// workerFixture is a worker attached to a scripted owner.
type workerFixture struct {
	*Worker
	owner   *scriptedOwner
	objects *Objects
	journal *Journal
}

func newWorkerFixture(t *testing.T) *workerFixture {
	t.Helper()
	f := &workerFixture{owner: &scriptedOwner{reply: loseResponse}, objects: NewObjects(), journal: NewJournal()}
	interference := NewInterference()
	interference.Set(map[string]map[string]float64{"batch:": {"batch:": 0}, "noisy": {"noisy": 1}})
	f.Worker = NewWorker(WorkerConfig{
		ID: "w1", Domain: "chipre", Capacity: job.Resources{CPUMilli: 4000, MemoryMiB: 4096},
		Poller: f.owner, Objects: f.objects, Journal: f.journal, Interference: interference,
		Open: func(infra.AttemptRef, job.TaskSpec) (Replica, error) { return &fakeReplica{}, nil },
	}, WorkerFaults{})
	f.attach(t, 1)
	t.Cleanup(f.Kill)
	return f
}

type fakeReplica struct{ killed bool }

func (*fakeReplica) SetSlowdown(float64) {}
func (*fakeReplica) Close()              {}
func (r *fakeReplica) Kill()             { r.killed = true }

func (f *workerFixture) attach(t *testing.T, epoch int64) infra.AttachResponse {
	t.Helper()
	res, err := f.Attach(infra.AttachRequest{Cell: "chipre-0", Epoch: epoch, OwnerURL: "http://owner"})
	assert.NilError(t, err)
	return res
}

// poll sends one poll, which gets the response res after delay, and returns its request.
func (f *workerFixture) poll(t *testing.T, delay time.Duration, res infra.PollResponse) infra.PollRequest {
	t.Helper()
	f.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
		time.Sleep(delay)
		return res, nil
	}
	_, err := f.pollOnce(t.Context())
	assert.NilError(t, err)
	return f.owner.polls[len(f.owner.polls)-1]
}

func batch(millis int64) job.TaskSpec {
	return job.TaskSpec{Class: job.ClassBatch, Resources: job.Resources{CPUMilli: 1000, MemoryMiB: 64}, RuntimeMillis: millis}
}

func start(task job.TaskID, attempt int, spec job.TaskSpec) infra.Command {
	return infra.Command{Kind: infra.CommandStart, Ref: infra.AttemptRef{Task: task, Attempt: attempt}, Spec: spec}
}

// granted returns a response that renews the lease for 10 s and permits starts for 2 s.
func granted(commands ...infra.Command) infra.PollResponse {
	return infra.PollResponse{LeaseMillis: 10_000, StartPermitMillis: 2_000, Commands: commands}
}

// states returns the state of the last report of each attempt.
func (f *workerFixture) states() map[infra.AttemptRef]infra.RunState {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	states := map[infra.AttemptRef]infra.RunState{}
	for _, r := range f.reports {
		states[r.Ref] = r.State
	}
	return states
}

func ref(task job.TaskID, attempt int) infra.AttemptRef {
	return infra.AttemptRef{Task: task, Attempt: attempt}
}

// The lease and the start permit must count from the sending of the poll. Counted from the receipt of the response, they would
// last longer than the owner assumes.
func TestLeaseAndPermitCountFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.poll(t, 1900*time.Millisecond, granted(start("j/0", 1, batch(60_000))))
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunRunning)

		f.poll(t, 2*time.Second, granted(start("j/1", 1, batch(60_000))))
		assert.Equal(t, f.states()[ref("j/1", 1)], infra.RunStopped, "the permit ran out on the way")

		// The last poll was sent 2 s ago, so its lease of 10 s ends in 8 s.
		time.Sleep(8*time.Second - time.Millisecond)
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunRunning)
		time.Sleep(time.Millisecond)
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, f.journal.Counts().LeaseExpired, int64(1))
	})
}

// A response that arrives after its lease expired must start nothing, even if its permit is longer than the lease.
func TestLateResponseStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		late := infra.PollResponse{LeaseMillis: 1_000, StartPermitMillis: 5_000}
		late.Commands = []infra.Command{start("j/0", 1, batch(1000))}
		f.poll(t, time.Second, late)
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, len(f.journal.Runs()), 0)
	})
}

// Service replicas must keep running after the lease expired; otherwise a service would end while its cell has no owner.
func TestExpiredLeaseKeepsServiceReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		service := job.TaskSpec{Class: job.ClassService, Service: "kioscos", Resources: job.Resources{CPUMilli: 1000}}
		standing := job.TaskSpec{Class: job.ClassStanding, Resources: job.Resources{CPUMilli: 1000}}
		f.poll(t, 0, granted(start("s/0", 1, service), start("m/0", 1, standing)))
		time.Sleep(11 * time.Second)
		assert.Equal(t, f.states()[ref("s/0", 1)], infra.RunRunning)
		assert.Equal(t, f.states()[ref("m/0", 1)], infra.RunStopped)
		assert.DeepEqual(t, f.attach(t, 2).Running, []infra.AttemptRef{ref("s/0", 1)})
	})
}

// A repeated start command must not run an attempt twice, even after the attempt ended.
func TestRepeatedStartRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		command := start("j/0", 1, batch(500))
		f.poll(t, 0, granted(command, command))
		f.poll(t, 0, granted(command))
		time.Sleep(time.Second)
		f.poll(t, 0, granted(command))
		assert.Equal(t, len(f.journal.Runs()), 1)
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunCompleted)

		// After the end was acknowledged, a repeated start makes the worker report the end again.
		done := granted()
		done.AckSeq = f.lastSeq
		f.poll(t, 0, done)
		assert.Equal(t, len(f.states()), 0)
		f.poll(t, 0, granted(command))
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunCompleted)
		assert.Equal(t, len(f.journal.Runs()), 1)
	})
}

// A start that arrives after the stop of the same attempt must be refused, and an attempt that was refused once must not run
// when its start is repeated.
func TestStopBeforeStartRefusesStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1)}))
		f.poll(t, 0, granted(start("j/0", 1, batch(500))))
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunStopped)

		noPermit := infra.PollResponse{LeaseMillis: 10_000, Commands: []infra.Command{start("j/1", 1, batch(500))}}
		f.poll(t, 0, noPermit)
		f.poll(t, 0, granted(start("j/1", 1, batch(500))))
		assert.Equal(t, f.states()[ref("j/1", 1)], infra.RunStopped)
		assert.Equal(t, len(f.journal.Runs()), 0)

		f.poll(t, 0, granted(start("j/1", 2, batch(500)), start("j/0", 2, batch(500))))
		assert.Equal(t, len(f.journal.Runs()), 2)
	})
}

// A worker must not run two attempts of one task: it refuses the later one while the earlier one is running, also when the
// start is repeated after the earlier one ended.
func TestConcurrentAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.poll(t, 0, granted(start("j/0", 1, batch(1000)), start("j/0", 2, batch(1000))))
		assert.Equal(t, f.states()[ref("j/0", 2)], infra.RunStopped)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunCompleted)
		f.poll(t, 0, granted(start("j/0", 2, batch(1000))))
		assert.Equal(t, len(f.journal.Runs()), 1)
		assert.Equal(t, len(FindOverlaps(f.journal.Runs())), 0)
	})
}

// A previous owner must not control a worker, neither by an attach with a lower epoch nor by a late response to a poll.
func TestPreviousOwnerHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
			f.attach(t, 2)
			return granted(start("j/0", 1, batch(500))), nil
		}
		_, err := f.pollOnce(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(f.journal.Runs()), 0)
		assert.Assert(t, f.leaseUntil.IsZero())

		_, err = f.Attach(infra.AttachRequest{Cell: "chipre-0", Epoch: 1, OwnerURL: "http://old"})
		var stale *infra.StaleEpochError
		assert.Assert(t, errors.As(err, &stale), "%v", err)
		assert.Equal(t, stale.Want, int64(2))
	})
}

// Reports must be repeated until acknowledged. A response with a stale epoch must not end the lease, and the worker must not
// poll again until the next attach.
func TestReportsRepeatUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.poll(t, 0, granted(start("j/0", 1, batch(500))))
		time.Sleep(time.Second)
		f.owner.reply = loseResponse
		_, err := f.pollOnce(t.Context())
		assert.ErrorIs(t, err, errNoResponse)
		half := granted()
		half.AckSeq = 1
		sent := f.poll(t, 0, half)
		assert.Equal(t, len(sent.Reports), 2)
		assert.Equal(t, len(f.poll(t, 0, granted()).Reports), 1)
		assert.Equal(t, len(f.attach(t, 2).Reports), 1)

		f.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
			return infra.PollResponse{}, &infra.StaleEpochError{}
		}
		lease := f.leaseUntil
		polls := len(f.owner.polls)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(f.owner.polls), polls+1)
		assert.Equal(t, f.leaseUntil, lease)
		f.attach(t, 3)
		synctest.Wait()
		assert.Equal(t, len(f.owner.polls), polls+2)
		cancel()
		synctest.Wait()
	})
}

// A task that moves with a checkpoint must neither lose nor repeat work.
func TestCheckpointAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.poll(t, 0, granted(start("j/0", 1, batch(8000))))
		time.Sleep(3 * time.Second)
		f.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1), SaveCheckpoint: true}))
		synctest.Wait()
		last := f.reports[len(f.reports)-1]
		assert.Equal(t, last.State, infra.RunStopped)
		assert.Equal(t, last.WorkMillis, int64(3000))

		next := NewWorker(f.cfg, WorkerFaults{})
		second := &workerFixture{Worker: next, owner: f.owner, objects: f.objects, journal: f.journal}
		t.Cleanup(second.Kill)
		second.attach(t, 1)
		resume := start("j/0", 2, batch(8000))
		resume.Checkpoint = last.Checkpoint
		second.poll(t, 0, granted(resume))
		time.Sleep(5*time.Second - time.Millisecond)
		assert.Equal(t, second.states()[ref("j/0", 2)], infra.RunRunning)
		time.Sleep(time.Millisecond)
		assert.Equal(t, second.states()[ref("j/0", 2)], infra.RunCompleted)
	})
}

// While the object store is down, a stop must neither hang nor report the attempt as ended before the checkpoint has failed.
func TestStopWhileObjectStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.objects.SetFaults(ObjectsFaults{Down: true, Delay: time.Second})
		f.poll(t, 0, granted(start("j/0", 1, batch(60_000))))
		f.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1), SaveCheckpoint: true}))
		assert.DeepEqual(t, f.attach(t, 1).Running, []infra.AttemptRef{ref("j/0", 1)})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, f.states()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, f.reports[len(f.reports)-1].Checkpoint, "")
	})
}

// Starts above the capacity of the worker must be counted.
func TestOverCapacityIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		for i := range 5 {
			f.poll(t, 0, granted(start(job.MakeTaskID("j", i), 1, batch(1000))))
		}
		assert.Equal(t, f.journal.Counts().OverCapacity, int64(1))
	})
}

// Throttling and interference must change the run time, and usage must be reported with its lag.
func TestThrottleInterferenceAndUsageLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.SetFaults(WorkerFaults{UsageLagMillis: new(int64(3000))})
		noisy := batch(4000)
		noisy.Kind = "noisy"
		noisy.Resources.CPUMilli = 2000
		f.poll(t, 0, granted(start("a/0", 1, noisy), start("b/0", 1, noisy)))
		// Each uses half of the worker and slows the other by a half.
		time.Sleep(3500 * time.Millisecond)
		usage := f.poll(t, 0, granted()).Usage
		assert.Equal(t, len(usage), 0, "the first measurement is 2.5 s old")
		time.Sleep(time.Second)
		usage = f.poll(t, 0, granted()).Usage
		assert.Equal(t, len(usage), 2)
		assert.Equal(t, usage[0].SlowdownPermille, int64(1500))
		assert.Equal(t, usage[0].AgeMillis, int64(3500))

		// 4.5 s at two thirds are 3 s of work; the rest takes 2 s at half of the speed.
		slow := infra.Command{Kind: infra.CommandThrottle, Ref: ref("a/0", 1), CPUPercent: 50}
		stop := infra.Command{Kind: infra.CommandStop, Ref: ref("b/0", 1)}
		f.poll(t, 0, granted(slow, stop))
		time.Sleep(2*time.Second - time.Millisecond)
		assert.Equal(t, f.states()[ref("a/0", 1)], infra.RunRunning)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, f.states()[ref("a/0", 1)], infra.RunCompleted)
	})
}

// An idle worker must not make up measurements for the time in which nothing ran.
func TestIdleWorkerMeasuresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		f.SetFaults(WorkerFaults{UsageLagMillis: new(int64(60_000))})
		time.Sleep(time.Hour)
		f.poll(t, 0, granted(start("a/0", 1, batch(4000))))
		time.Sleep(2500 * time.Millisecond)
		f.poll(t, 0, granted())
		assert.Equal(t, len(f.usage), 2)
	})
}
