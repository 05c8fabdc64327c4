package drain

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/currantthread/currantthread/job"
)

// StopReason is the stop reason stored for tasks that are stopped because their failure domain is out.
const StopReason = "domain out"

// Running is a task that occupies a worker of the failure domain.
type Running struct {
	ID    job.TaskID
	Class job.Class
}

// SelectStops selects at most limit tasks to stop next. Exclusive tasks come first, because they need time for a
// checkpoint. Service replicas come last, so that they keep serving while other domains take over the batch tasks.
func SelectStops(running []Running, limit int) []job.TaskID {
	slices.SortFunc(running, func(a, b Running) int {
		if a.Class.Exclusive() != b.Class.Exclusive() {
			if a.Class.Exclusive() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	ids := make([]job.TaskID, 0, min(limit, len(running)))
	for _, r := range running[:min(limit, len(running))] {
		ids = append(ids, r.ID)
	}
	return ids
}

// returnPeriod is how long starts are rate limited after a failure domain has returned.
const returnPeriod = time.Minute

// Pacer limits the rate of starts after a failure domain has returned, so that not all waiting tasks hit its workers and the
// table at once. It is not safe for concurrent use.
type Pacer struct {
	limiter    *rate.Limiter
	returnedAt time.Time
}

// Allowance returns how many starts are allowed at now, at most limit. returnedAt is when the domain returned.
func (p *Pacer) Allowance(now, returnedAt time.Time, perSecond, limit int) int {
	if returnedAt.IsZero() || now.Sub(returnedAt) >= returnPeriod {
		return limit
	}
	if p.limiter == nil || !p.returnedAt.Equal(returnedAt) {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		p.returnedAt = returnedAt
		// The token bucket starts empty, so that the first second is limited as well.
		p.limiter.AllowN(now, perSecond)
	}
	return min(limit, int(p.limiter.TokensAt(now)))
}

// RecordStarts records starts, so that they count against the limit.
func (p *Pacer) RecordStarts(now time.Time, starts int) {
	if p.limiter != nil {
		p.limiter.AllowN(now, starts)
	}
}
