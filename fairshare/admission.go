package fairshare

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// RateTimeConstant is the time constant of the moving count of an organisation's accepted jobs. Floods last 6 to 8 s.
	RateTimeConstant = 8 * time.Second
	// spareJobs is how many jobs more than the weight gives are within it, whatever the weight. Jobs are spread over the cells by their IDs, so an
	// organisation that sends one job a minute may send two to the same cell.
	spareJobs = 1
	// fullShare is the share of a resource from which it counts as full. The rest is in pieces that are too small for what waits, or on runners
	// whose tasks have just ended. It is chosen, not measured.
	fullShare = 0.85
	// workMargin is the multiple of the work that can be done in time that is still accepted, because the times of single tasks are not known: the
	// estimates are off by up to 0.9, and 3% of the tasks take seven times as long.
	workMargin = 1.5
	// minRetry and maxRetry bound the time after which a refused job may be sent again, without the spread.
	minRetry = 1 * time.Second
	maxRetry = 30 * time.Second
	// minSpread is the shortest time over which the retries of refused jobs are spread. Times are whole seconds on the wire.
	minSpread = 4 * time.Second
	// spreadSteps is the number of different delays.
	spreadSteps = 1 << 12
)

// Count is a moving count of events, which decays with RateTimeConstant. The zero value has seen none.
type Count struct {
	value float64
	at    time.Time
}

// At returns the count at a time that is not before that of the last event.
func (c *Count) At(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp(-float64(now.Sub(c.at))/float64(RateTimeConstant))
}

// Add counts an event.
func (c *Count) Add(now time.Time) { c.value, c.at = c.At(now)+1, now }

// WithinWeight reports whether an organisation to which a number of jobs per second is owed may send one more job, given the moving count of its
// accepted jobs. Arrivals vary by chance, so twice the standard deviation of a Poisson process is within the weight too.
func WithinWeight(accepted, owedPerSecond float64) bool {
	expected := owedPerSecond * RateTimeConstant.Seconds()
	return accepted <= expected+2*math.Sqrt(expected)+spareJobs
}

// Work is what a job needs: resources times seconds of all its tasks, and until when that is of value.
type Work struct {
	Priority int
	By       time.Time
	Need     [3]float64
}

// Account is what an organisation has in a cell.
type Account struct {
	Weight float64
	// Held is what its short tasks hold.
	Held Amounts
	// Waiting is the work of its jobs that has not started.
	Waiting []Work
	// Capped means that its tasks wait for its cap, so they don't compete for capacity.
	Capped bool
}

// Load is the state of a pool of runners for which short tasks of organisations wait.
type Load struct {
	Capacity Amounts
	// LongRunning is what long-running tasks hold.
	LongRunning Amounts
	// Pace is the time that tasks take as a multiple of their estimates; 0 if unknown.
	Pace     float64
	Accounts map[string]*Account
}

// Full reports whether the short and the long-running tasks together leave so little of a resource that what waits has to wait for their ends.
func (l *Load) Full(d int) bool {
	held := l.LongRunning[d]
	for _, a := range l.Accounts {
		held += a.Held[d]
	}
	return l.Capacity[d] > 0 && float64(held) >= fullShare*float64(l.Capacity[d])
}

// rate returns how much of a resource an organisation has while all is full: its part by weight of what long-running tasks and organisations
// without waiting work leave, and at least what it holds now, which others may leave unused.
func (l *Load) rate(name string, d int) float64 {
	available, weights := float64(l.Capacity[d]-l.LongRunning[d]), 0.0
	for other, a := range l.Accounts {
		if other == name || len(a.Waiting) > 0 && !a.Capped {
			weights += positive(a.Weight)
		} else {
			available -= float64(a.Held[d])
		}
	}
	own := l.Accounts[name]
	if own == nil {
		own = &Account{}
		weights++
	}
	return max(max(available, 0)*positive(own.Weight)/weights, float64(own.Held[d]))
}

// Excess returns how long it takes until the waiting work of an organisation leaves time for one more job, or 0 if it does so now. The job is in
// excess if the work that has to be done by the end of its value, with the job's own, is more than workMargin of what
// the organisation gets done until then, for a resource that is full. largest is what the largest task of the job holds: an organisation that
// holds nothing goes first, so it has one task running at any time. Work of lower priority and of more value in time goes after the job and
// does not count.
func (l *Load) Excess(now time.Time, name string, job Work, largest Amounts) time.Duration {
	left := job.By.Sub(now).Seconds()
	pace := l.Pace
	if pace <= 0 {
		pace = 1
	}
	longest := 0.0
	for d := range job.Need {
		if job.Need[d] == 0 || !l.Full(d) {
			continue
		}
		need := job.Need[d]
		if own := l.Accounts[name]; own != nil {
			for _, w := range own.Waiting {
				if w.Priority <= job.Priority && !w.By.After(job.By) && w.By.After(now) {
					need += w.Need[d]
				}
			}
		}
		rate := max(l.rate(name, d), float64(largest[d]))
		longest = max(longest, need*pace/rate-workMargin*left)
	}
	return time.Duration(longest * float64(time.Second))
}

// RetryAfter returns when a client should send a refused job again: the time after which the organisation's backlog fits again, spread by
// organisation and job over as long again, so that clients don't return together.
func RetryAfter(excess time.Duration, name, jobID string) time.Duration {
	wait := min(max(excess, minRetry), maxRetry)
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "/" + jobID)) // a hash never fails
	spread := float64(h.Sum64()%spreadSteps) / spreadSteps
	return wait + time.Duration(spread*float64(max(wait, minSpread)))
}
