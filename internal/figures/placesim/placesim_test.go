package placesim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/sched"
)

// Guards against urgent work that waits for batch work longer than the target of F9, under the delays of DefaultDelays.
func TestUrgentStartsWithinTarget(t *testing.T) {
	const target = 2300 * time.Millisecond
	r := UrgentStarts(1, 200)
	assert.Equal(t, r.Queued, 0)
	assert.Assert(t, r.Evictions > 0, "the workers were not full")
	worst := r.Waits[len(r.Waits)-1]
	assert.Assert(t, worst <= target, "an urgent task waited %v", worst)
}

// Guards against a controller that acts on its own lag: without noise it must come to rest, and with noise the service
// must stay within its target without starving the batch work beside it.
func TestControllerSettlesUnderLag(t *testing.T) {
	r := Steady(sched.DefaultConfig(), 0, 1)
	assert.Equal(t, r.LateActions, 0, "%+v", r)
	assert.Assert(t, r.Slowdown <= 1.3 && r.Slowdown >= 1.2, "%+v", r)
	for seed := uint64(1); seed <= 5; seed++ {
		r := Steady(sched.DefaultConfig(), 0.15, seed)
		assert.Assert(t, r.LateMax <= 1.31 && r.LateMin >= 1.15, "seed %d: %+v", seed, r)
	}
}

// Guards against learned interference that breaks the tail-latency target, or that does less useful batch work than
// static headroom at the same target, in a short replay that includes the learning phase.
func TestLearnedInterferenceBeatsStaticHeadroom(t *testing.T) {
	const length = 40 * time.Minute
	_, static := BestStatic(1, length)
	learned := Headroom(LearnedConfig(), true, 1, length)
	assert.Assert(t, static.P99 <= TailTarget && learned.P99 <= TailTarget, "%v, %v", static.P99, learned.P99)
	assert.Assert(t, learned.Work >= 1.1*static.Work, "%v against %v core hours", learned.Work, static.Work)
}

// Guards against a comparison in which the model contributes nothing: without usage reports the same settings must
// break the target or do less work.
func TestLearningMatters(t *testing.T) {
	const length = 40 * time.Minute
	learned := Headroom(LearnedConfig(), true, 1, length)
	blind := Headroom(LearnedConfig(), false, 1, length)
	assert.Assert(t, blind.P99 > TailTarget || blind.Work < learned.Work, "%+v against %+v", blind, learned)
}
