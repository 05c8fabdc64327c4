package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fluctuatingLoad is the load of a service whose users arrive in waves.
func fluctuatingLoad(t time.Time) float64 {
	return 0.45 + 0.225*math.Sin(2*math.Pi*t.Sub(testStart).Seconds()/14)
}

// Six tasks of a step report a fluctuating load every two seconds each, one after another. If the estimate lags,
// best-effort tasks start beside a rising load and are stopped again.
func TestLoadFollowsFluctuation(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	model := NewPressure()
	var load Load
	now := testStart
	model.Observe(now, "s", 10, nil, &Load{})
	worst, sum, n := 0.0, 0.0, 0
	for range 240 {
		now = now.Add(333 * time.Millisecond)
		u := fluctuatingLoad(now) + reportDeviation*rng.NormFloat64()
		model.Observe(now, "s", 10/(1-u), nil, &load)
		if now.Sub(testStart) < 10*time.Second {
			continue
		}
		off := math.Abs(load.At(now) - fluctuatingLoad(now))
		worst, sum, n = max(worst, off), sum+off, n+1
	}
	assert.Assert(t, sum/float64(n) < reportDeviation, "it is off by %.3f on average", sum/float64(n))
	assert.Assert(t, worst < 3*reportDeviation, "it is off by %.3f at worst", worst)
}

// Once reports stop, the slope must not be extrapolated for ever, and the variance must grow. An old report must not move
// the time back.
func TestLoadWithoutReports(t *testing.T) {
	var load Load
	for i := range 20 {
		load.observe(testStart.Add(time.Duration(i)*200*time.Millisecond), 0.3+0.02*float64(i), 0.0001)
	}
	last := testStart.Add(19 * 200 * time.Millisecond)
	assert.Equal(t, load.At(last.Add(maxAhead)), load.At(last.Add(time.Minute)))
	assert.Assert(t, load.variance(last.Add(10*time.Second)) > priorLoadDeviation*priorLoadDeviation)
	before := load
	load.observe(last.Add(-time.Second), 0.9, 0.0001)
	assert.Equal(t, load.at, before.at, "an old report moves the time back")
}

// Load that other tasks of the step show without co-located tasks must not be attributed to best-effort tasks.
func TestSharedLoadSeparatesPressure(t *testing.T) {
	model := NewPressure()
	model.Observe(testStart, "s", 10, nil, &Load{})
	var load Load
	now := testStart
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		u := fluctuatingLoad(now)
		model.Observe(now, "s", 10/(1-u), nil, &load)
		model.Observe(now, "s", 10/(1-u-0.1*0.2), []Share{{"harmless", 0.1}}, &load)
		model.Observe(now, "s", 10/(1-u-0.1*2.0), []Share{{"harmful", 0.1}}, &load)
	}
	harmless, harmful := model.Coefficient(Pair{"s", "harmless"}), model.Coefficient(Pair{"s", "harmful"})
	assert.Assert(t, harmless < 0.5, "%.2f", harmless)
	assert.Assert(t, harmful > 1.5, "%.2f", harmful)
}
