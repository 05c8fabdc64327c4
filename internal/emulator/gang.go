package emulator

import (
	"time"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// gangTimeout is how long the members of a gang wait for the others before they end alone.
const gangTimeout = 3 * time.Second

// gangKey identifies one run of a gang.
type gangKey struct {
	job              string
	occurrence, step int
	run              int
}

func (k runKey) gang() gangKey {
	return gangKey{k.task.Job, k.task.Occurrence, k.task.Step, k.run}
}

// joinGang makes a started run wait for the other members of its gang, if it has any. The caller holds mu.
func (f *Fleet) joinGang(r *simRunner, key runKey, run *simRun) {
	if f.GangSize == nil || f.GangSize(key.task) == 0 {
		return
	}
	members := f.gangs[key.gang()]
	if members == nil {
		members = map[workload.TaskID]*simRunner{}
		f.gangs[key.gang()] = members
	}
	members[key.task] = r
	run.timer.Stop()
	if len(members) < f.GangSize(key.task) {
		run.timer = f.endAfter(gangTimeout, r, key, runner.EndAlone)
		return
	}
	for task, member := range members {
		waiting := member.running[runKey{task, key.run}]
		waiting.timer.Stop()
		waiting.started = time.Now()
		waiting.timer = f.endAfter(run.duration, member, runKey{task, key.run}, run.outcome)
	}
}

func (f *Fleet) endAfter(d time.Duration, r *simRunner, key runKey, reason runner.EndReason) *time.Timer {
	return time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.endRun(f, key, reason)
	})
}

// endGang ends the other members of a gang after one has ended. The caller holds mu.
func (f *Fleet) endGang(key runKey, reason runner.EndReason) {
	members := f.gangs[key.gang()]
	delete(f.gangs, key.gang())
	if reason != runner.EndDone {
		reason = runner.EndBroken
	}
	for task, r := range members {
		r.endRun(f, runKey{task, key.run}, reason)
	}
}
