// Package lookahead predicts when running tasks end and decides for which waiting tasks capacity is kept free. It does no I/O, reads no clock and
// is not safe for concurrent use.
package lookahead

import (
	"math"
	"time"
)

const (
	// memory is the number of observations over which the moments of an image are averaged. Older ones are forgotten.
	memory = 128
	// minObservations is the number of observations from which an image's prediction replaces the estimate.
	minObservations = 8
	// maxImages bounds the images that are remembered. The one without an observation for longest is forgotten first.
	maxImages = 1024
	// upperDeviations is the distance of the upper quantile (0.9 of a normal distribution) from the mean in standard deviations.
	upperDeviations = 1.2816
	// minDeviation is the least standard deviation of the logarithm of a run time. Ends are seen with the delay of a poll.
	minDeviation = 0.05
	// maxDeviations bounds the part of a residual that is learned, in standard deviations but at least minClip, so that the few tasks that take a
	// multiple of the usual time don't determine the prediction of the others.
	maxDeviations = 3
	minClip       = 0.3
	// slopePrior pulls the slope towards 1, the proportionality of run times to estimates. It is the variance of the logarithm of the estimates
	// that weighs as much as the prior.
	slopePrior = 0.02
	// minRunTime and maxRunTime bound run times and estimates, so that their logarithms are finite.
	minRunTime = time.Millisecond
	maxRunTime = 1000 * time.Hour
)

// Prediction is the expected run time of a task at full speed.
type Prediction struct {
	// Typical is the median, and Upper the 0.9 quantile.
	Typical, Upper time.Duration
	// Learned is false if the prediction is the caller's estimate.
	Learned bool
}

// Estimated returns the prediction that takes an estimate as exact.
func Estimated(estimate time.Duration) Prediction {
	return Prediction{Typical: estimate, Upper: estimate}
}

// RunTimes learns run times by image. For each image it regresses the logarithm of the run time on that of the caller's estimate: the slope is
// near 1 where estimates are proportional to run times, and near 0 where they say nothing.
type RunTimes struct {
	images       map[string]*moments
	observations int64
}

// NewRunTimes returns a model without observations.
func NewRunTimes() *RunTimes { return &RunTimes{images: map[string]*moments{}} }

// Images returns the number of images with observations.
func (t *RunTimes) Images() int { return len(t.images) }

// Observe learns the run time of a task that ran at full speed. An estimate of 0 means that there is none.
func (t *RunTimes) Observe(image string, estimate, took time.Duration) {
	m := t.images[image]
	if m == nil {
		if len(t.images) >= maxImages {
			t.forgetOldest()
		}
		m = &moments{}
		t.images[image] = m
	}
	t.observations++
	m.last = t.observations
	m.observe(logarithm(estimate), logarithm(took))
}

// forgetOldest removes the image whose last observation is the oldest.
func (t *RunTimes) forgetOldest() {
	oldest, last := "", int64(math.MaxInt64)
	for image, m := range t.images {
		if m.last < last {
			oldest, last = image, m.last
		}
	}
	delete(t.images, oldest)
}

// Predict returns the prediction for a task of an image. Without enough observations it is the estimate.
func (t *RunTimes) Predict(image string, estimate time.Duration) Prediction {
	m := t.images[image]
	if m == nil || m.weight < minObservations {
		return Estimated(estimate)
	}
	typical := m.predict(logarithm(estimate))
	return Prediction{Typical: exponential(typical), Upper: exponential(typical + upperDeviations*m.deviation()), Learned: true}
}

// moments are the moving moments of the logarithms of estimates (x) and run times (y) of an image.
type moments struct {
	// weight is the number of observations, at most memory.
	weight       float64
	meanX, meanY float64
	varX, varY   float64
	covariance   float64
	// last is the number of the last observation.
	last int64
}

func (m *moments) observe(x, y float64) {
	if m.weight >= minObservations {
		limit := max(maxDeviations*m.deviation(), minClip)
		expected := m.predict(x)
		y = expected + min(max(y-expected, -limit), limit)
	}
	m.weight = min(m.weight+1, memory)
	gain := 1 / m.weight
	dx, dy := x-m.meanX, y-m.meanY
	m.meanX += gain * dx
	m.meanY += gain * dy
	m.varX = (1 - gain) * (m.varX + gain*dx*dx)
	m.varY = (1 - gain) * (m.varY + gain*dy*dy)
	m.covariance = (1 - gain) * (m.covariance + gain*dx*dy)
}

func (m *moments) slope() float64 {
	return min(max((m.covariance+slopePrior)/(m.varX+slopePrior), 0), 1)
}

func (m *moments) predict(x float64) float64 { return m.meanY + m.slope()*(x-m.meanX) }

// deviation returns the standard deviation of the residuals.
func (m *moments) deviation() float64 {
	s := m.slope()
	return max(math.Sqrt(max(m.varY-2*s*m.covariance+s*s*m.varX, 0)), minDeviation)
}

func logarithm(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

func exponential(y float64) time.Duration {
	return time.Duration(math.Exp(min(y, math.Log(maxRunTime.Seconds()))) * float64(time.Second))
}

// fullPacePercent is the progress from which the observed pace alone predicts the end. Below, the prediction before the start counts in proportion,
// because the time until a runner begins a task is a large part of the time so far.
const fullPacePercent = 25

// AtPace returns the prediction for a task that has made a progress in percent within a time.
func (p Prediction) AtPace(elapsed time.Duration, percent int) Prediction {
	if percent <= 0 || elapsed <= 0 {
		return p
	}
	weight := min(float64(percent)/fullPacePercent, 1)
	total := float64(elapsed) * 100 / float64(percent)
	blend := func(prior time.Duration) time.Duration {
		return time.Duration(min((1-weight)*float64(prior)+weight*total, float64(maxRunTime)))
	}
	return Prediction{Typical: blend(p.Typical), Upper: blend(p.Upper), Learned: p.Learned}
}

// overdueShare is the part of the time so far that a run which has exceeded its prediction is expected to go on for.
const overdueShare = 0.5

// OverdueLeft returns for how long a run goes on that should have ended by now. A prediction that is not learned says nothing about that.
func (p Prediction) OverdueLeft(elapsed time.Duration) time.Duration {
	if !p.Learned {
		return 0
	}
	return time.Duration(overdueShare * float64(elapsed))
}
