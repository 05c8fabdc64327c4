package interference

import "time"

const (
	// priorLoad is assumed for serving tasks before the first observation, with the standard deviation
	// priorLoadDeviation.
	priorLoad          = 0.45
	priorLoadDeviation = 0.15
	// reportDeviation is the standard deviation of one reported tail latency, as utilization.
	reportDeviation = 0.06
	// slopeDeviation is the standard deviation of the slope after a single observation, per second.
	slopeDeviation = 0.06
	// slopeNoise is the variance that the slope gains per second. Loads fluctuate by half of their mean within 14 s.
	slopeNoise = 0.002
	// maxSlope bounds the slope, per second.
	maxSlope = 0.15
	// maxAhead bounds how far a slope is extrapolated beyond the last report.
	maxAhead = 2 * time.Second
)

// Load is the utilization of serving tasks by their own users. The tasks of a step share their users, so their load
// changes together, and each report of one task is an observation for all. It is tracked by a Kalman filter of level
// and slope. The zero value has no observations.
type Load struct {
	known        bool
	at           time.Time
	level, slope float64
	// The covariance of level and slope.
	levelVar, crossCov, slopeVar float64
}

// At returns the expected utilization at a time.
func (l *Load) At(t time.Time) float64 {
	if !l.known {
		return priorLoad
	}
	ahead := min(t.Sub(l.at), maxAhead).Seconds()
	return min(max(l.level+l.slope*max(ahead, 0), 0), 1)
}

// variance returns the variance of At(t).
func (l *Load) variance(t time.Time) float64 {
	if !l.known {
		return priorLoadDeviation * priorLoadDeviation
	}
	dt := max(t.Sub(l.at).Seconds(), 0)
	return l.levelVar + 2*dt*l.crossCov + dt*dt*l.slopeVar + slopeNoise*dt*dt*dt/3
}

// observe updates the estimate with a measured utilization and its variance.
func (l *Load) observe(t time.Time, value, variance float64) {
	if !l.known {
		*l = Load{known: true, at: t, level: min(max(value, 0), 1), levelVar: variance, slopeVar: slopeDeviation * slopeDeviation}
		return
	}
	l.advance(t)
	innovationVariance := l.levelVar + variance
	gain, slopeGain := l.levelVar/innovationVariance, l.crossCov/innovationVariance
	innovation := value - l.level
	l.level = min(max(l.level+gain*innovation, 0), 1)
	l.slope = min(max(l.slope+slopeGain*innovation, -maxSlope), maxSlope)
	l.slopeVar -= slopeGain * l.crossCov
	l.crossCov *= 1 - gain
	l.levelVar *= 1 - gain
}

// advance moves the estimate to a time. Reports may arrive out of order; an earlier time changes nothing.
func (l *Load) advance(t time.Time) {
	dt := t.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.levelVar = l.variance(t)
	l.level = min(max(l.level+l.slope*dt, 0), 1)
	l.crossCov += dt*l.slopeVar + slopeNoise*dt*dt/2
	l.slopeVar = min(l.slopeVar+slopeNoise*dt, slopeDeviation*slopeDeviation)
	l.at = t
}
