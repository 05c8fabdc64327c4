package fairshare

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// backlog returns jobs of 4 cores and 1 s that have value for a time.
func backlog(now time.Time, jobs int, value time.Duration) []Work {
	work := make([]Work, jobs)
	for i := range work {
		work[i] = Work{By: now.Add(value), Need: [3]float64{Processors: 4}}
	}
	return work
}

// Each case guards against a refusal of a job that could be done in time, or the acceptance of one that can't. Jobs have 4 cores and 1 s, and
// value for 6 s; the runners have 100 cores, so that 25 jobs end in a second.
func TestRefusalsByLoad(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const value = 6 * time.Second
	account := func(weight float64, held int64, waiting int) *Account {
		return &Account{Weight: weight, Held: Amounts{Processors: held}, Waiting: backlog(now, waiting, value)}
	}
	cases := map[string]struct {
		load     Load
		accepted float64 // by the moving count
		owed     float64 // jobs per second
		refused  bool
	}{
		"one organisation sends 7 times its usual": {
			Load{Accounts: map[string]*Account{"a": account(5, 20, 60), "b": account(20, 80, 5)}}, 200, 5, true},
		"one organisation sends 7 times its usual and the others leave half unused": {
			Load{Accounts: map[string]*Account{"a": account(5, 60, 60), "b": account(20, 40, 0)}}, 200, 5, false},
		"another organisation sends 7 times its usual": {
			Load{Accounts: map[string]*Account{"a": account(20, 80, 100), "b": account(5, 20, 600)}}, 160, 20, false},
		"all send twice their usual, at the beginning": {
			Load{Accounts: map[string]*Account{"a": account(10, 50, 60), "b": account(10, 50, 60)}}, 160, 10, false},
		"all send twice their usual, after a while": {
			Load{Accounts: map[string]*Account{"a": account(10, 50, 120), "b": account(10, 50, 120)}}, 160, 10, true},
		"a small organisation beside a large one": {
			Load{Accounts: map[string]*Account{"a": account(0.1, 0, 0), "b": account(50, 100, 900)}}, 1.5, 0.1, false},
		"a small organisation that sends many beside a large one": {
			Load{Accounts: map[string]*Account{"a": account(0.1, 4, 12), "b": account(50, 96, 900)}}, 8, 0.1, true},
		"first job after idleness": {
			Load{Accounts: map[string]*Account{"b": account(50, 100, 900)}}, 0, 0.01, false},
		"an idle cell with a backlog that is not planned yet": {
			Load{Accounts: map[string]*Account{"a": account(5, 20, 600), "b": account(20, 40, 5)}}, 400, 5, false},
		"long-running tasks hold most": {
			Load{LongRunning: Amounts{Processors: 80}, Accounts: map[string]*Account{"a": account(5, 12, 40), "b": account(5, 8, 40)}}, 100, 5, true},
		"another organisation waits for its cap": {
			Load{Accounts: map[string]*Account{"a": account(5, 10, 39), "c": account(5, 30, 0),
				"b": {Weight: 20, Held: Amounts{Processors: 50}, Waiting: backlog(now, 9, value), Capped: true}}}, 200, 5, false},
		"tasks take half of their estimates": {
			Load{Pace: 0.5, Accounts: map[string]*Account{"a": account(10, 50, 120), "b": account(10, 50, 120)}}, 160, 10, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.load.Capacity = Amounts{Processors: 100, Memory: 1000}
			job := backlog(now, 1, value)[0]
			excess := c.load.Excess(now, "a", job, Amounts{Processors: 4})
			refused := !WithinWeight(c.accepted, c.owed) && excess > 0
			assert.Equal(t, refused, c.refused, "within its weight: %v, excess %v", WithinWeight(c.accepted, c.owed), excess)
		})
	}
}

// Work that goes after the job, or that has no value any more, must not cause its refusal, nor that for a resource that is not full.
func TestExcessCountsOnlyWorkBeforeTheJob(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	job := Work{Priority: 1, By: now.Add(6 * time.Second), Need: [3]float64{Processors: 4}}
	cases := map[string]struct {
		change  func(w *Work, l *Load)
		refused bool
	}{
		"all before":       {func(*Work, *Load) {}, true},
		"lower priority":   {func(w *Work, _ *Load) { w.Priority = 2 }, false},
		"higher priority":  {func(w *Work, _ *Load) { w.Priority = 0 }, true},
		"later objectives": {func(w *Work, _ *Load) { w.By = now.Add(time.Minute) }, false},
		"without value":    {func(w *Work, _ *Load) { w.By = now }, false},
		"another resource": {func(w *Work, l *Load) { w.Need = [3]float64{Memory: 4}; l.Capacity[Memory] = 100 }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			load := Load{Capacity: Amounts{Processors: 100}, Accounts: map[string]*Account{"a": {Weight: 1, Held: Amounts{Processors: 100}}}}
			for range 300 {
				w := Work{Priority: 1, By: now.Add(5 * time.Second), Need: [3]float64{Processors: 4}}
				c.change(&w, &load)
				load.Accounts["a"].Waiting = append(load.Accounts["a"].Waiting, w)
			}
			assert.Equal(t, load.Excess(now, "a", job, Amounts{Processors: 4}) > 0, c.refused)
		})
	}
}

// A steady organisation must stay within its weight, and a flood of seven times the weight must not, unless it is a matter of single jobs.
func TestWithinWeightFollowsTheRate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, owed := range []float64{0.05, 0.5, 5, 50} {
		var steady, flood Count
		beyond := 0
		for i := range 3000 {
			at := now.Add(time.Duration(float64(i) / owed * float64(time.Second)))
			assert.Assert(t, WithinWeight(steady.At(at), owed), "owed %v", owed)
			steady.Add(at)
			at = now.Add(time.Duration(float64(i) / owed / 7 * float64(time.Second)))
			if !WithinWeight(flood.At(at), owed) {
				beyond++
				continue
			}
			flood.Add(at)
		}
		assert.Assert(t, beyond > 1800 || owed < 0.5, "owed %v: %d of 3000 jobs at seven times the weight are beyond it", owed, beyond)
		assert.Equal(t, int(steady.At(now.Add(time.Hour*100))), 0)
	}
}

// Clients that were refused together must not come back together.
func TestRetriesAreSpread(t *testing.T) {
	seconds := map[int]int{}
	for i := range 1000 {
		after := RetryAfter(8*time.Second, fmt.Sprint("o", i%3), fmt.Sprintf("%016x", i))
		assert.Assert(t, after >= 8*time.Second && after < 16*time.Second, after)
		seconds[int(after.Seconds())]++
	}
	assert.Equal(t, len(seconds), 8)
	for second, count := range seconds {
		assert.Assert(t, count > 80 && count < 170, "%d clients return after %d s", count, second)
	}
	assert.Equal(t, RetryAfter(0, "a", "1"), RetryAfter(0, "a", "1"))
	assert.Assert(t, RetryAfter(time.Hour, "a", "1") < 2*maxRetry)
	assert.Assert(t, RetryAfter(0, "a", "1") >= minRetry)
}
