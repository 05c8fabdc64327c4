package limit

import (
	"container/list"
	"errors"
	"math"
	"time"
)

// Class is the priority of a request.
type Class uint8

const (
	// LatencyCritical requests are granted first. It is the default.
	LatencyCritical Class = iota
	// Batch requests are granted after latency-critical ones, within the bound of BatchEvery.
	Batch
	classCount
)

// String returns the value used in the priority header.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "latency-critical"
}

const (
	// BatchEvery bounds the starvation of batch requests: while any wait, at least one of BatchEvery grants goes to the
	// first of them. The k-th waiting batch request is granted within k x BatchEvery grants.
	BatchEvery = 10
	// batchReserve is the divisor for the part of the queue (one in batchReserve positions) that only batch requests may
	// use. Without it, a queue full of latency-critical requests would refuse every batch request.
	batchReserve = 10
	// serviceTimeWeight is the weight of a new sample in the average time that a request holds its slot.
	serviceTimeWeight = 1.0 / 16
	// A standing queue of latency-critical requests is kept short, because it adds delay and no throughput. The queue
	// counts as standing if it has not been empty for standingFactor times the average service time, at least
	// minStanding. Then a request that has waited longer than shortWaitFactor times the average service time, at least
	// minShortWait, is shed in favour of a newer one. While the queue is not standing, the bound on the wait is the longer
	// of the first two times. docs/measurements.md compares this with other rules.
	standingFactor  = 2
	minStanding     = 100 * time.Millisecond
	shortWaitFactor = 0.3
	minShortWait    = 15 * time.Millisecond
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
)

// Reasons why a request is shed.
var (
	ErrQueueFull     = errors.New("the queue is full")
	ErrWaitTooLong   = errors.New("the expected wait exceeds the time left")
	ErrExpired       = errors.New("the deadline passed in the queue")
	ErrStandingQueue = errors.New("the queue stands and newer requests wait")
	ErrDisplaced     = errors.New("a latency-critical request took the place in the queue")
)

// ShedError holds the reason why a request was not admitted, and the time after which a retry may be admitted.
type ShedError struct {
	Reason     error
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *ShedError) Unwrap() error { return e.Reason }

// Ticket is one request in a Queue.
type Ticket struct {
	class      Class
	deadline   time.Time // zero for none
	queuedAt   time.Time
	element    *list.Element // nil when not waiting
	granted    bool
	onResolved func(error) // called once at the end of a wait: with nil if granted, or with a *ShedError
}

// Granted reports whether the request holds a slot.
func (t *Ticket) Granted() bool { return t.granted }

// Queue decides which requests hold one of a limited number of slots, and in which order the others wait. It is not
// safe for concurrent use and reads no clock; Admission wraps it for concurrent use.
type Queue struct {
	limit            int
	capacity         int
	running          int
	waiting          [classCount]*list.List // of *Ticket
	serviceTime      float64                // average service time: how long a slot is held, in nanoseconds
	emptyAt          time.Time              // when a latency-critical request last found no other waiting
	grantsSinceBatch int                    // grants since the last one to batch, counted while batch requests wait
}

// NewQueue returns a queue with concurrency slots and capacity positions for waiting requests.
func NewQueue(concurrency, capacity int) *Queue {
	q := &Queue{limit: concurrency, capacity: capacity}
	for c := range q.waiting {
		q.waiting[c] = list.New()
	}
	return q
}

// SetLimit changes the numbers of slots and of waiting requests. Requests that exceed the new limits are kept.
func (q *Queue) SetLimit(now time.Time, concurrency, capacity int) {
	q.limit, q.capacity = concurrency, capacity
	q.grant(now)
}

// Offer admits a request, lets it wait, or returns a *ShedError. deadline may be zero. If the request waits, a later
// call on the queue calls onResolved once: with nil if the request holds a slot, or with a *ShedError. Abandon prevents
// that.
func (q *Queue) Offer(now time.Time, class Class, deadline time.Time, onResolved func(error)) (*Ticket, error) {
	t := &Ticket{class: class, deadline: deadline, queuedAt: now, onResolved: onResolved}
	if q.running < q.limit && q.Waiting() == 0 {
		q.hold(t)
		return t, nil
	}
	if !deadline.IsZero() && now.Add(q.expectedWait(class)).After(deadline) {
		return nil, q.shed(ErrWaitTooLong)
	}
	if err := q.ensureQueueSpace(class); err != nil {
		return nil, err
	}
	if class == LatencyCritical && q.waiting[class].Len() == 0 {
		q.emptyAt = now
	}
	t.element = q.waiting[class].PushBack(t)
	return t, nil
}

// Done ends a granted request that held its slot for held.
func (q *Queue) Done(now time.Time, held time.Duration) {
	q.running--
	q.serviceTime += (float64(held) - q.serviceTime) * q.sampleWeight()
	q.grant(now)
}

// ReturnUnused ends a granted request that did not use its slot. Its time is not a sample of the service time.
func (q *Queue) ReturnUnused(now time.Time) {
	q.running--
	q.grant(now)
}

// Abandon removes a waiting request. It reports whether the request was still waiting.
func (q *Queue) Abandon(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	q.remove(t)
	return true
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting[LatencyCritical].Len() + q.waiting[Batch].Len() }

// WaitingOf returns the number of waiting requests of a class.
func (q *Queue) WaitingOf(class Class) int { return q.waiting[class].Len() }

func (q *Queue) sampleWeight() float64 {
	if q.serviceTime == 0 {
		return 1
	}
	return serviceTimeWeight
}

// expectedWait estimates the wait of a request of class that arrives now.
func (q *Queue) expectedWait(class Class) time.Duration {
	critical, batch := q.waiting[LatencyCritical].Len(), q.waiting[Batch].Len()
	ahead := critical + min(batch, critical/BatchEvery)
	if class == Batch {
		ahead = min(critical+batch, (batch+1)*BatchEvery)
	}
	return time.Duration(float64(ahead+1) * q.serviceTime / float64(max(q.limit, 1)))
}

// ensureQueueSpace returns nil if a request of class may wait. If necessary, it sheds the newest batch request in its
// favour.
func (q *Queue) ensureQueueSpace(class Class) error {
	reserve := (q.capacity + batchReserve - 1) / batchReserve
	if class == LatencyCritical && q.waiting[LatencyCritical].Len() >= q.capacity-reserve {
		return q.shed(ErrQueueFull)
	}
	if q.Waiting() < q.capacity {
		return nil
	}
	if class == Batch {
		return q.shed(ErrQueueFull)
	}
	// Latency-critical requests leave the reserve free, so a full queue holds a batch request.
	newest := q.waiting[Batch].Back().Value.(*Ticket)
	q.resolve(newest, q.shed(ErrDisplaced))
	return nil
}

func (q *Queue) shed(reason error) *ShedError {
	seconds := math.Ceil(q.expectedWait(LatencyCritical).Seconds())
	return &ShedError{Reason: reason, RetryAfter: max(time.Duration(seconds)*time.Second, minRetryAfter)}
}

func (q *Queue) hold(t *Ticket) {
	t.granted = true
	q.running++
}

func (q *Queue) remove(t *Ticket) {
	q.waiting[t.class].Remove(t.element)
	t.element = nil
}

// resolve ends the wait of t: with a slot if err is nil, otherwise with the refusal err.
func (q *Queue) resolve(t *Ticket, err error) {
	q.remove(t)
	if err == nil {
		q.hold(t)
	}
	t.onResolved(err)
}

// grant gives free slots to waiting requests.
func (q *Queue) grant(now time.Time) {
	for q.running < q.limit && q.Waiting() > 0 {
		t := q.first()
		if !t.deadline.IsZero() && !t.deadline.After(now) {
			q.resolve(t, q.shed(ErrExpired))
			continue
		}
		if q.waitedTooLong(now, t) {
			q.resolve(t, q.shed(ErrStandingQueue))
			continue
		}
		q.countGrant(t.class)
		q.resolve(t, nil)
	}
}

// waitedTooLong reports whether t is shed to keep a standing queue short. The newest request is never shed for this, so
// that no slot stays free.
func (q *Queue) waitedTooLong(now time.Time, t *Ticket) bool {
	if t.class != LatencyCritical || q.waiting[LatencyCritical].Len() == 1 {
		return false
	}
	bound := max(time.Duration(standingFactor*q.serviceTime), minStanding)
	if now.Sub(q.emptyAt) > bound {
		bound = max(time.Duration(shortWaitFactor*q.serviceTime), minShortWait)
	}
	return now.Sub(t.queuedAt) > bound
}

// first returns the waiting request that is to be granted next.
func (q *Queue) first() *Ticket {
	class := LatencyCritical
	batchWaits := q.waiting[Batch].Len() > 0
	if batchWaits && (q.waiting[LatencyCritical].Len() == 0 || q.grantsSinceBatch >= BatchEvery-1) {
		class = Batch
	}
	return q.waiting[class].Front().Value.(*Ticket)
}

func (q *Queue) countGrant(class Class) {
	if class == Batch || q.waiting[Batch].Len() == 0 {
		q.grantsSinceBatch = 0
		return
	}
	q.grantsSinceBatch++
}
