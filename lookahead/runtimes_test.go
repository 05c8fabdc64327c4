package lookahead

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tailShare of the tasks of the loads below take tailFactor times as long as the others.
const (
	tailShare  = 0.03
	tailFactor = 7
)

// load describes run times of an image and what callers estimate.
type load struct {
	shortest, longest time.Duration
	// error is the largest relative error of an estimate, both ways.
	error float64
	// factor is the run time over the estimate without error.
	factor float64
}

// sample returns an estimate and the run time of a task that is not in the tail.
func (l load) sample(rng *rand.Rand) (estimate, took time.Duration) {
	took = l.shortest + time.Duration(rng.Float64()*float64(l.longest-l.shortest))
	estimate = time.Duration(float64(took) / l.factor * (1 + l.error*(2*rng.Float64()-1)))
	return estimate, took
}

// meanError returns the mean absolute error of the logarithm of predictions, and the share of tasks that end within the upper quantile.
func meanError(predict func(estimate time.Duration) Prediction, l load, rng *rand.Rand) (logError, within float64) {
	const tasks = 2000
	for range tasks {
		estimate, took := l.sample(rng)
		p := predict(estimate)
		logError += math.Abs(math.Log(p.Typical.Seconds() / took.Seconds()))
		if took <= p.Upper {
			within++
		}
	}
	return logError / tasks, within / tasks
}

// Estimates of callers are off by up to 0.9 both ways, and 3% of tasks take 7 times as long. An owner that takes estimates as exact orders its queue
// by latest starts that are wrong by a multiple, and keeps runners free for tasks that start much later or earlier.
func TestPredictionIsCloserThanTheEstimate(t *testing.T) {
	for name, test := range map[string]struct {
		load
		// worst is the largest mean error, and share the part of the error of the estimate that it may be.
		worst, share float64
	}{
		"urgent tasks of 0.64 to 0.85 s, estimates off by up to 0.9": {load{640 * time.Millisecond, 850 * time.Millisecond, 0.9, 1}, 0.15, 0.3},
		"batch tasks of 1.4 to 2.2 s, estimates off by up to 0.9":    {load{1400 * time.Millisecond, 2200 * time.Millisecond, 0.9, 1}, 0.2, 0.3},
		"estimates off by up to 0.4":                                 {load{640 * time.Millisecond, 850 * time.Millisecond, 0.4, 1}, 0.15, 0.7},
		"run times of 0.2 to 20 s, estimates a third of them":        {load{200 * time.Millisecond, 20 * time.Second, 0.05, 3}, 0.1, 0.1},
		"estimates are exact":                                        {load{640 * time.Millisecond, 2200 * time.Millisecond, 0, 1}, 0.05, math.Inf(1)},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			model := NewRunTimes()
			for range 300 {
				estimate, took := test.sample(rng)
				if rng.Float64() < tailShare {
					took *= tailFactor
				}
				model.Observe("i", estimate, took)
			}
			byEstimate, _ := meanError(Estimated, test.load, rng)
			learned, within := meanError(func(estimate time.Duration) Prediction { return model.Predict("i", estimate) }, test.load, rng)
			t.Logf("mean error of the logarithm: %.3f by the estimate, %.3f learned; %.2f end within the upper quantile", byEstimate, learned, within)
			assert.Assert(t, learned <= test.worst && learned <= test.share*max(byEstimate, 1e-9))
			assert.Assert(t, within >= 0.85, "%.2f end within the upper quantile", within)
		})
	}
}

// Few observations say less than an estimate.
func TestFewObservationsLeaveTheEstimate(t *testing.T) {
	model := NewRunTimes()
	for range minObservations - 1 {
		model.Observe("i", time.Second, 3*time.Second)
	}
	assert.Equal(t, model.Predict("i", time.Second), Estimated(time.Second))
	model.Observe("i", time.Second, 3*time.Second)
	p := model.Predict("i", time.Second)
	assert.Assert(t, p.Learned && p.Typical > 2900*time.Millisecond && p.Typical < 3100*time.Millisecond, "%v", p)
	assert.Equal(t, model.Predict("j", time.Second), Estimated(time.Second))
}

// A new version of an image may take another time. Its prediction must follow although single residuals are clipped.
func TestPredictionFollowsAChange(t *testing.T) {
	model := NewRunTimes()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		model.Observe("i", time.Second, time.Second+time.Duration(rng.Float64()*float64(100*time.Millisecond)))
	}
	for range 2 * memory {
		model.Observe("i", time.Second, 4*time.Second+time.Duration(rng.Float64()*float64(100*time.Millisecond)))
	}
	p := model.Predict("i", time.Second)
	assert.Assert(t, p.Typical > 3*time.Second && p.Typical < 5*time.Second, "%v", p)
}

// Clients choose names of images, so their number must not grow without a bound, and those in use must stay.
func TestImagesAreBounded(t *testing.T) {
	model := NewRunTimes()
	for i := range 2 * maxImages {
		model.Observe(fmt.Sprint(i), time.Second, time.Second)
		for range minObservations {
			model.Observe("used", time.Second, 2*time.Second)
		}
	}
	assert.Equal(t, model.Images(), maxImages)
	assert.Assert(t, model.Predict("used", time.Second).Learned)
}

// Estimates and times of any size, also none, must not give predictions that are not numbers.
func TestOddTimes(t *testing.T) {
	times := []time.Duration{-1, 0, 1, time.Millisecond, time.Hour, math.MaxInt64}
	model := NewRunTimes()
	for range 20 {
		for _, estimate := range times {
			for _, took := range times {
				model.Observe("i", estimate, took)
			}
		}
	}
	for _, estimate := range times {
		p := model.Predict("i", estimate)
		assert.Assert(t, p.Typical > 0 && p.Upper >= p.Typical && p.Upper <= maxRunTime+time.Second, "%v", p)
		for _, percent := range []int{-1, 0, 1, 50, 100} {
			p := p.AtPace(time.Hour, percent)
			assert.Assert(t, p.Typical > 0 && p.Upper >= p.Typical, "%v", p)
		}
	}
}

// A task of the tail makes progress at a seventh of the usual pace. Its end must be expected late before it is overdue.
func TestPaceShowsTheTail(t *testing.T) {
	usual := Prediction{Typical: time.Second, Upper: 1200 * time.Millisecond, Learned: true}
	for name, test := range map[string]struct {
		elapsed time.Duration
		percent int
		// from and to bound the expected run time.
		from, to time.Duration
	}{
		"no progress yet":                    {300 * time.Millisecond, 0, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"progress is not known":              {300 * time.Millisecond, -1, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"at the usual pace":                  {500 * time.Millisecond, 50, 990 * time.Millisecond, 1010 * time.Millisecond},
		"a seventh of the pace, 0.9 s":       {900 * time.Millisecond, 13, 3500 * time.Millisecond, 7 * time.Second},
		"a seventh of the pace, 2 s":         {2 * time.Second, 28, 7 * time.Second, 7200 * time.Millisecond},
		"one percent, most of it is latency": {60 * time.Millisecond, 1, 1200 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			got := usual.AtPace(test.elapsed, test.percent).Upper
			assert.Assert(t, got >= test.from && got <= test.to, "%v", got)
		})
	}
	assert.Equal(t, usual.OverdueLeft(2*time.Second), time.Second)
	assert.Equal(t, Estimated(time.Second).OverdueLeft(2*time.Second), time.Duration(0))
}
