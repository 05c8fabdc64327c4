package drain

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/currantthread/currantthread/job"
)

// Reason is the stop reason stored for tasks that leave with their failure domain.
const Reason = "domain out"

// Running is a task that occupies a worker of the failure domain.
type Running struct {
	ID    job.TaskID
	Class job.Class
}

// Empty chooses at most limit tasks to stop next. Exclusive tasks go first, because they need time for a checkpoint;
// service replicas follow, so that they keep serving while the queues of other domains take the batch work.
func Empty(running []Running, limit int) []job.TaskID {
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

// returnPeriod is how long starts are paced after a failure domain came back.
const returnPeriod = time.Minute

// Pacer limits starts after a failure domain came back, so that its workers and the table are not hit by all waiting
// work at once. It is not safe for concurrent use.
type Pacer struct {
	limiter  *rate.Limiter
	returned time.Time
}

// Allowance returns how many starts are allowed at now, at most limit. returnedAt is when the domain came back.
func (p *Pacer) Allowance(now, returnedAt time.Time, perSecond, limit int) int {
	if returnedAt.IsZero() || now.Sub(returnedAt) >= returnPeriod {
		return limit
	}
	if p.limiter == nil || !p.returned.Equal(returnedAt) {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		p.returned = returnedAt
		// The bucket starts empty, so that the first second is paced as well.
		p.limiter.AllowN(now, perSecond)
	}
	return min(limit, int(p.limiter.TokensAt(now)))
}

// Took records starts that were made.
func (p *Pacer) Took(now time.Time, starts int) {
	if p.limiter != nil {
		p.limiter.AllowN(now, starts)
	}
}
