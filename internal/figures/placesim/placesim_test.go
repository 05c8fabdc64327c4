package placesim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/sched"
)

// An urgent task must not wait longer than the target of F9 when batch work fills the workers (with DefaultDelays).
func TestUrgentStartsWithinTarget(t *testing.T) {
	const target = 2300 * time.Millisecond
	r := UrgentStarts(1, 200)
	assert.Equal(t, r.NeverStarted, 0)
	assert.Assert(t, r.Evictions > 0, "the workers were not full")
	worst := r.Waits[len(r.Waits)-1]
	assert.Assert(t, worst <= target, "an urgent task waited %v", worst)
}

// The throttling controller must not oscillate because its usage reports lag. Without noise it must stop acting, and with
// noise the service must stay within its target without starving the co-located batch work.
func TestControllerSettlesUnderLag(t *testing.T) {
	r := Steady(sched.DefaultConfig(), 0, 1)
	assert.Equal(t, r.LateActions, 0, "%+v", r)
	assert.Assert(t, r.Slowdown <= 1.3 && r.Slowdown >= 1.2, "%+v", r)
	for seed := uint64(1); seed <= 5; seed++ {
		r := Steady(sched.DefaultConfig(), 0.15, seed)
		assert.Assert(t, r.LateMax <= 1.31 && r.LateMin >= 1.15, "seed %d: %+v", seed, r)
	}
}

// Learned interference must keep the tail-latency target and do more useful batch work than static headroom at the same
// target, in a short simulation that includes the learning phase.
func TestLearnedInterferenceBeatsStaticHeadroom(t *testing.T) {
	const length = 40 * time.Minute
	_, static := BestStatic(1, length)
	learned := Headroom(LearnedConfig(), true, 1, length)
	assert.Assert(t, static.P99 <= TailTarget && learned.P99 <= TailTarget, "%v, %v", static.P99, learned.P99)
	assert.Assert(t, learned.Work >= 1.1*static.Work, "%v against %v core hours", learned.Work, static.Work)
}

// Without usage reports the same configuration must violate the target or do less work; otherwise the comparison above
// would not depend on the learned model.
func TestLearningMatters(t *testing.T) {
	const length = 40 * time.Minute
	learned := Headroom(LearnedConfig(), true, 1, length)
	blind := Headroom(LearnedConfig(), false, 1, length)
	assert.Assert(t, blind.P99 > TailTarget || blind.Work < learned.Work, "%+v against %+v", blind, learned)
}
