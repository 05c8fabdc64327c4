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

// scriptedOwner answers polls with a function that runs in virtual time.
type scriptedOwner struct {
	polls []infra.PollRequest
	reply func(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error)
}

func (o *scriptedOwner) Poll(ctx context.Context, _ string, req infra.PollRequest) (infra.PollResponse, error) {
	o.polls = append(o.polls, req)
	return o.reply(ctx, req)
}

var errNoAnswer = errors.New("no answer")

func lost(context.Context, infra.PollRequest) (infra.PollResponse, error) {
	return infra.PollResponse{}, errNoAnswer
}

type workerBench struct {
	*Worker
	owner   *scriptedOwner
	objects *Objects
	journal *Journal
}

func newWorkerBench(t *testing.T) *workerBench {
	t.Helper()
	b := &workerBench{owner: &scriptedOwner{reply: lost}, objects: NewObjects(), journal: NewJournal()}
	interference := NewInterference()
	interference.Set(map[string]map[string]float64{"batch:": {"batch:": 0}, "noisy": {"noisy": 1}})
	b.Worker = NewWorker(WorkerConfig{
		ID: "w1", Domain: "chipre", Capacity: job.Resources{CPUMilli: 4000, MemoryMiB: 4096},
		Poller: b.owner, Objects: b.objects, Journal: b.journal, Interference: interference,
		Open: func(infra.AttemptRef, job.TaskSpec) (Replica, error) { return &fakeReplica{}, nil },
	}, WorkerFaults{})
	b.attach(t, 1)
	t.Cleanup(b.Kill)
	return b
}

type fakeReplica struct{ killed bool }

func (*fakeReplica) SetSlowdown(float64) {}
func (*fakeReplica) Close()              {}
func (r *fakeReplica) Kill()             { r.killed = true }

func (b *workerBench) attach(t *testing.T, epoch int64) infra.AttachResponse {
	t.Helper()
	res, err := b.Attach(infra.AttachRequest{Cell: "chipre-0", Epoch: epoch, OwnerURL: "http://owner"})
	assert.NilError(t, err)
	return res
}

// poll sends one poll that is answered after delay.
func (b *workerBench) poll(t *testing.T, delay time.Duration, res infra.PollResponse) infra.PollRequest {
	t.Helper()
	b.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
		time.Sleep(delay)
		return res, nil
	}
	_, err := b.pollOnce(t.Context())
	assert.NilError(t, err)
	return b.owner.polls[len(b.owner.polls)-1]
}

func batch(millis int64) job.TaskSpec {
	return job.TaskSpec{Class: job.ClassBatch, Resources: job.Resources{CPUMilli: 1000, MemoryMiB: 64}, RuntimeMillis: millis}
}

func start(task job.TaskID, attempt int, spec job.TaskSpec) infra.Command {
	return infra.Command{Kind: infra.CommandStart, Ref: infra.AttemptRef{Task: task, Attempt: attempt}, Spec: spec}
}

func granted(commands ...infra.Command) infra.PollResponse {
	return infra.PollResponse{LeaseMillis: 10_000, StartPermitMillis: 2_000, Commands: commands}
}

// ends returns the state of the last report of each attempt.
func (b *workerBench) ends() map[infra.AttemptRef]infra.RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	states := map[infra.AttemptRef]infra.RunState{}
	for _, r := range b.reports {
		states[r.Ref] = r.State
	}
	return states
}

func ref(task job.TaskID, attempt int) infra.AttemptRef {
	return infra.AttemptRef{Task: task, Attempt: attempt}
}

// Guards against a lease or a permit that counts from the receipt of the answer: both would outlive the owner's record.
func TestLeaseAndPermitCountFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.poll(t, 1900*time.Millisecond, granted(start("j/0", 1, batch(60_000))))
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunRunning)

		b.poll(t, 2*time.Second, granted(start("j/1", 1, batch(60_000))))
		assert.Equal(t, b.ends()[ref("j/1", 1)], infra.RunStopped, "the permit ran out on the way")

		// The last poll was sent 2 s ago, so its lease of 10 s ends in 8 s.
		time.Sleep(8*time.Second - time.Millisecond)
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunRunning)
		time.Sleep(time.Millisecond)
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, b.journal.Counts().Lapsed, int64(1))
	})
}

// Guards against an answer that arrives after the lease ran out and still starts a task, and against a permit longer than
// the lease.
func TestLateAnswerStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		late := infra.PollResponse{LeaseMillis: 1_000, StartPermitMillis: 5_000}
		late.Commands = []infra.Command{start("j/0", 1, batch(1000))}
		b.poll(t, time.Second, late)
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, len(b.journal.Runs()), 0)
	})
}

// Guards against service replicas that stop with the lease, which would end a service while its owner is away.
func TestLapsedLeaseKeepsServiceReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		service := job.TaskSpec{Class: job.ClassService, Service: "kioscos", Resources: job.Resources{CPUMilli: 1000}}
		standing := job.TaskSpec{Class: job.ClassStanding, Resources: job.Resources{CPUMilli: 1000}}
		b.poll(t, 0, granted(start("s/0", 1, service), start("m/0", 1, standing)))
		time.Sleep(11 * time.Second)
		assert.Equal(t, b.ends()[ref("s/0", 1)], infra.RunRunning)
		assert.Equal(t, b.ends()[ref("m/0", 1)], infra.RunStopped)
		assert.DeepEqual(t, b.attach(t, 2).Running, []infra.AttemptRef{ref("s/0", 1)})
	})
}

// Guards against an attempt that runs twice because its start command arrived again, also after it ended.
func TestRepeatedStartRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		command := start("j/0", 1, batch(500))
		b.poll(t, 0, granted(command, command))
		b.poll(t, 0, granted(command))
		time.Sleep(time.Second)
		b.poll(t, 0, granted(command))
		assert.Equal(t, len(b.journal.Runs()), 1)
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunCompleted)

		// Once the end was acknowledged, a repeated start makes the worker tell the end again.
		done := granted()
		done.AckSeq = b.nextSeq
		b.poll(t, 0, done)
		assert.Equal(t, len(b.ends()), 0)
		b.poll(t, 0, granted(command))
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunCompleted)
		assert.Equal(t, len(b.journal.Runs()), 1)
	})
}

// Guards against a start that overtakes the stop of the same attempt, and against an attempt that was refused once and
// runs when its start is repeated.
func TestStopBeforeStartRefusesStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1)}))
		b.poll(t, 0, granted(start("j/0", 1, batch(500))))
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunStopped)

		noPermit := infra.PollResponse{LeaseMillis: 10_000, Commands: []infra.Command{start("j/1", 1, batch(500))}}
		b.poll(t, 0, noPermit)
		b.poll(t, 0, granted(start("j/1", 1, batch(500))))
		assert.Equal(t, b.ends()[ref("j/1", 1)], infra.RunStopped)
		assert.Equal(t, len(b.journal.Runs()), 0)

		b.poll(t, 0, granted(start("j/1", 2, batch(500)), start("j/0", 2, batch(500))))
		assert.Equal(t, len(b.journal.Runs()), 2)
	})
}

// Guards against two attempts of one task that run on one worker, also if the later one's start is repeated after the
// earlier one ended.
func TestLaterAttemptWaitsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.poll(t, 0, granted(start("j/0", 1, batch(1000)), start("j/0", 2, batch(1000))))
		assert.Equal(t, b.ends()[ref("j/0", 2)], infra.RunStopped)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunCompleted)
		b.poll(t, 0, granted(start("j/0", 2, batch(1000))))
		assert.Equal(t, len(b.journal.Runs()), 1)
		assert.Equal(t, len(FindOverlaps(b.journal.Runs())), 0)
	})
}

// Guards against a previous owner that still commands a worker: a lower epoch attaches, or its late answer is applied.
func TestPreviousOwnerHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
			b.attach(t, 2)
			return granted(start("j/0", 1, batch(500))), nil
		}
		_, err := b.pollOnce(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(b.journal.Runs()), 0)
		assert.Assert(t, b.leaseUntil.IsZero())

		_, err = b.Attach(infra.AttachRequest{Cell: "chipre-0", Epoch: 1, OwnerURL: "http://old"})
		var stale *infra.StaleEpochError
		assert.Assert(t, errors.As(err, &stale), "%v", err)
		assert.Equal(t, stale.Want, int64(2))
	})
}

// Guards against reports that are lost with an unanswered poll, and against an answer with a stale epoch that ends the
// lease or is polled in a loop.
func TestReportsRepeatUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.poll(t, 0, granted(start("j/0", 1, batch(500))))
		time.Sleep(time.Second)
		b.owner.reply = lost
		_, err := b.pollOnce(t.Context())
		assert.ErrorIs(t, err, errNoAnswer)
		half := granted()
		half.AckSeq = 1
		sent := b.poll(t, 0, half)
		assert.Equal(t, len(sent.Reports), 2)
		assert.Equal(t, len(b.poll(t, 0, granted()).Reports), 1)
		assert.Equal(t, len(b.attach(t, 2).Reports), 1)

		b.owner.reply = func(context.Context, infra.PollRequest) (infra.PollResponse, error) {
			return infra.PollResponse{}, &infra.StaleEpochError{}
		}
		lease := b.leaseUntil
		polls := len(b.owner.polls)
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(b.owner.polls), polls+1)
		assert.Equal(t, b.leaseUntil, lease)
		b.attach(t, 3)
		synctest.Wait()
		assert.Equal(t, len(b.owner.polls), polls+2)
		cancel()
		synctest.Wait()
	})
}

// Guards against work that is lost or done twice when a task moves with a checkpoint.
func TestCheckpointAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.poll(t, 0, granted(start("j/0", 1, batch(8000))))
		time.Sleep(3 * time.Second)
		b.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1), SaveCheckpoint: true}))
		synctest.Wait()
		last := b.reports[len(b.reports)-1]
		assert.Equal(t, last.State, infra.RunStopped)
		assert.Equal(t, last.WorkMillis, int64(3000))

		next := NewWorker(b.cfg, WorkerFaults{})
		second := &workerBench{Worker: next, owner: b.owner, objects: b.objects, journal: b.journal}
		t.Cleanup(second.Kill)
		second.attach(t, 1)
		resume := start("j/0", 2, batch(8000))
		resume.Checkpoint = last.Checkpoint
		second.poll(t, 0, granted(resume))
		time.Sleep(5*time.Second - time.Millisecond)
		assert.Equal(t, second.ends()[ref("j/0", 2)], infra.RunRunning)
		time.Sleep(time.Millisecond)
		assert.Equal(t, second.ends()[ref("j/0", 2)], infra.RunCompleted)
	})
}

// Guards against a stop that hangs, or an attempt that is taken for gone too early, while the object store is down.
func TestStopWhileObjectStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.objects.SetFaults(ObjectsFaults{Down: true, Delay: time.Second})
		b.poll(t, 0, granted(start("j/0", 1, batch(60_000))))
		b.poll(t, 0, granted(infra.Command{Kind: infra.CommandStop, Ref: ref("j/0", 1), SaveCheckpoint: true}))
		assert.DeepEqual(t, b.attach(t, 1).Running, []infra.AttemptRef{ref("j/0", 1)})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, b.ends()[ref("j/0", 1)], infra.RunStopped)
		assert.Equal(t, b.reports[len(b.reports)-1].Checkpoint, "")
	})
}

// Guards against a worker over its capacity that nobody notices.
func TestOverCapacityIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		for i := range 5 {
			b.poll(t, 0, granted(start(job.MakeTaskID("j", i), 1, batch(1000))))
		}
		assert.Equal(t, b.journal.Counts().OverCapacity, int64(1))
	})
}

// Guards against a model in which throttling and interference do not show, or usage that is reported without its lag.
func TestThrottleInterferenceAndUsageLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.SetFaults(WorkerFaults{UsageLagMillis: new(int64(3000))})
		noisy := batch(4000)
		noisy.Kind = "noisy"
		noisy.Resources.CPUMilli = 2000
		b.poll(t, 0, granted(start("a/0", 1, noisy), start("b/0", 1, noisy)))
		// Each uses half of the worker and slows the other by a half.
		time.Sleep(3500 * time.Millisecond)
		usage := b.poll(t, 0, granted()).Usage
		assert.Equal(t, len(usage), 0, "the first measurement is 2.5 s old")
		time.Sleep(time.Second)
		usage = b.poll(t, 0, granted()).Usage
		assert.Equal(t, len(usage), 2)
		assert.Equal(t, usage[0].SlowdownPermille, int64(1500))
		assert.Equal(t, usage[0].AgeMillis, int64(3500))

		// 4.5 s at two thirds are 3 s of work; the rest takes 2 s at half of the speed.
		slow := infra.Command{Kind: infra.CommandThrottle, Ref: ref("a/0", 1), CPUPercent: 50}
		stop := infra.Command{Kind: infra.CommandStop, Ref: ref("b/0", 1)}
		b.poll(t, 0, granted(slow, stop))
		time.Sleep(2*time.Second - time.Millisecond)
		assert.Equal(t, b.ends()[ref("a/0", 1)], infra.RunRunning)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, b.ends()[ref("a/0", 1)], infra.RunCompleted)
	})
}

// Guards against an idle worker that catches up on measurements of the time in which nothing ran.
func TestIdleWorkerMeasuresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkerBench(t)
		b.SetFaults(WorkerFaults{UsageLagMillis: new(int64(60_000))})
		time.Sleep(time.Hour)
		b.poll(t, 0, granted(start("a/0", 1, batch(4000))))
		time.Sleep(2500 * time.Millisecond)
		b.poll(t, 0, granted())
		assert.Equal(t, len(b.usage), 2)
	})
}
