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
	// LatencyCritical requests go first. It is the default.
	LatencyCritical Class = iota
	// Batch requests wait for latency-critical ones, but see BatchEvery.
	Batch
	classCount
)

// String returns the form used in the priority header.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "latency-critical"
}

const (
	// BatchEvery bounds how long batch is starved: while batch requests wait, at least one of BatchEvery grants goes to
	// the first of them. The k-th waiting batch request is granted within k x BatchEvery grants.
	BatchEvery = 10
	// batchReserve is the part of the queue (one in batchReserve places) that only batch requests may take. Without it
	// a queue full of latency-critical requests would refuse every batch request.
	batchReserve = 10
	// serviceWeight is the weight of a new sample in the average time that a request holds its place.
	serviceWeight = 1.0 / 16
	// A standing queue of latency-critical requests is kept short, because it adds delay and no throughput. It stands if
	// it was not empty for standingFactor times the average time that a place is held, at least minStanding. Then a
	// request that waited longer than shortWaitFactor times that average, at least minShortWait, is shed in favour of
	// a newer one. In a queue that does not stand, the bound is the first span. docs/measurements.md has the comparison
	// with other rules.
	standingFactor  = 2
	minStanding     = 100 * time.Millisecond
	shortWaitFactor = 0.3
	minShortWait    = 15 * time.Millisecond
	// minRetryAfter is the finest step of the Retry-After header.
	minRetryAfter = time.Second
)

// Reasons why a request is shed.
var (
	ErrQueueFull   = errors.New("the queue is full")
	ErrWaitTooLong = errors.New("the expected wait exceeds the time left")
	ErrExpired     = errors.New("the deadline passed in the queue")
	ErrStanding    = errors.New("the queue stands and newer requests wait")
	ErrDisplaced   = errors.New("a latency-critical request took the place in the queue")
)

// ShedError says why a request was not admitted and when a repeat may be admitted.
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
	class    Class
	deadline time.Time // zero for none
	since    time.Time
	element  *list.Element // nil when not waiting
	granted  bool
	settled  func(error) // called once with nil when granted later, or with a *ShedError
}

// Granted reports whether the request holds a place.
func (t *Ticket) Granted() bool { return t.granted }

// Queue decides which requests hold one of a limited number of places and in which order others wait. It is not safe
// for concurrent use and reads no clock; Admission is the concurrent form.
type Queue struct {
	limit      int
	capacity   int
	running    int
	waiting    [classCount]*list.List // of *Ticket
	service    float64                // average time that a place is held, nanoseconds
	emptyAt    time.Time              // when a latency-critical request last found none of its class waiting
	sinceBatch int                    // grants since the last grant to batch while batch waits
}

// NewQueue returns a queue of concurrency places with room for capacity waiting requests.
func NewQueue(concurrency, capacity int) *Queue {
	q := &Queue{limit: concurrency, capacity: capacity}
	for c := range q.waiting {
		q.waiting[c] = list.New()
	}
	return q
}

// SetLimit changes the numbers of places and of waiting requests. Requests beyond the new numbers stay.
func (q *Queue) SetLimit(now time.Time, concurrency, capacity int) {
	q.limit, q.capacity = concurrency, capacity
	q.grant(now)
}

// Offer admits a request, lets it wait, or returns a *ShedError. deadline may be zero. If the request waits, settled is
// called once from a later call, with nil when the request holds a place or with a *ShedError.
func (q *Queue) Offer(now time.Time, class Class, deadline time.Time, settled func(error)) (*Ticket, error) {
	t := &Ticket{class: class, deadline: deadline, since: now, settled: settled}
	if q.running < q.limit && q.Waiting() == 0 {
		q.hold(t)
		return t, nil
	}
	if !deadline.IsZero() && now.Add(q.expectedWait(class)).After(deadline) {
		return nil, q.shed(ErrWaitTooLong)
	}
	if err := q.makeRoom(class); err != nil {
		return nil, err
	}
	if class == LatencyCritical && q.waiting[class].Len() == 0 {
		q.emptyAt = now
	}
	t.element = q.waiting[class].PushBack(t)
	return t, nil
}

// Done ends a granted request that held its place for held.
func (q *Queue) Done(now time.Time, held time.Duration) {
	q.running--
	q.service += (float64(held) - q.service) * q.serviceWeight()
	q.grant(now)
}

// Return ends a granted request that did not use its place.
func (q *Queue) Return(now time.Time) {
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

// Running returns the number of places held.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting[LatencyCritical].Len() + q.waiting[Batch].Len() }

// WaitingOf returns the number of requests of a class that wait.
func (q *Queue) WaitingOf(class Class) int { return q.waiting[class].Len() }

func (q *Queue) serviceWeight() float64 {
	if q.service == 0 {
		return 1
	}
	return serviceWeight
}

// expectedWait estimates the wait of a request of class that arrives now.
func (q *Queue) expectedWait(class Class) time.Duration {
	urgent, batch := q.waiting[LatencyCritical].Len(), q.waiting[Batch].Len()
	ahead := urgent + min(batch, urgent/BatchEvery)
	if class == Batch {
		ahead = min(urgent+batch, (batch+1)*BatchEvery)
	}
	return time.Duration(float64(ahead+1) * q.service / float64(max(q.limit, 1)))
}

// makeRoom returns nil if a request of class may wait, after it displaced the newest batch request if need be.
func (q *Queue) makeRoom(class Class) error {
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
	q.settle(newest, q.shed(ErrDisplaced))
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

// settle ends the wait of t, with a place if err is nil.
func (q *Queue) settle(t *Ticket, err error) {
	q.remove(t)
	if err == nil {
		q.hold(t)
	}
	t.settled(err)
}

// grant fills free places.
func (q *Queue) grant(now time.Time) {
	for q.running < q.limit && q.Waiting() > 0 {
		t := q.first()
		if !t.deadline.IsZero() && !t.deadline.After(now) {
			q.settle(t, q.shed(ErrExpired))
			continue
		}
		if q.waitedTooLong(now, t) {
			q.settle(t, q.shed(ErrStanding))
			continue
		}
		q.countTurn(t.class)
		q.settle(t, nil)
	}
}

// waitedTooLong reports whether t is shed to keep a standing queue short. The newest request is never shed for this, so
// no place stays free.
func (q *Queue) waitedTooLong(now time.Time, t *Ticket) bool {
	if t.class != LatencyCritical || q.waiting[LatencyCritical].Len() == 1 {
		return false
	}
	bound := max(time.Duration(standingFactor*q.service), minStanding)
	if now.Sub(q.emptyAt) > bound {
		bound = max(time.Duration(shortWaitFactor*q.service), minShortWait)
	}
	return now.Sub(t.since) > bound
}

// first returns the waiting request that is granted next.
func (q *Queue) first() *Ticket {
	class := LatencyCritical
	batchWaits := q.waiting[Batch].Len() > 0
	if batchWaits && (q.waiting[LatencyCritical].Len() == 0 || q.sinceBatch >= BatchEvery-1) {
		class = Batch
	}
	return q.waiting[class].Front().Value.(*Ticket)
}

func (q *Queue) countTurn(class Class) {
	if class == Batch || q.waiting[Batch].Len() == 0 {
		q.sinceBatch = 0
		return
	}
	q.sinceBatch++
}
