package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/limit"
)

var epoch = time.Date(2027, 3, 7, 8, 0, 0, 0, time.UTC)

// log keeps the order in which waiting requests are settled.
type log struct {
	granted []string
	shed    []error
}

func (l *log) settled(name string) func(error) {
	return func(err error) {
		if err != nil {
			l.shed = append(l.shed, err)
			return
		}
		l.granted = append(l.granted, name)
	}
}

// Guards against batch requests that are granted before latency-critical ones, and against batch requests that are
// starved beyond the stated bound by a steady stream of latency-critical ones.
func TestBatchWaitsWithinBound(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l log
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.settled("running"))
	assert.NilError(t, err)
	for range 2 {
		_, err = q.Offer(epoch, limit.Batch, time.Time{}, l.settled("batch"))
		assert.NilError(t, err)
	}
	now := epoch
	for range 3 * limit.BatchEvery {
		_, err = q.Offer(now, limit.LatencyCritical, time.Time{}, l.settled("critical"))
		assert.NilError(t, err)
		now = now.Add(time.Millisecond)
		q.Done(now, time.Millisecond)
	}
	var places []int
	for i, name := range l.granted {
		if name == "batch" {
			places = append(places, i+1)
		}
	}
	assert.DeepEqual(t, places, []int{limit.BatchEvery, 2 * limit.BatchEvery})
}

// Guards against requests that wait although they cannot be granted before their deadline.
func TestShedsWhenWaitExceedsTimeLeft(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l log
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.settled("first"))
	assert.NilError(t, err)
	q.Done(epoch.Add(time.Second), time.Second) // the average time that a place is held is now 1 s
	now := epoch.Add(time.Second)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(time.Minute), l.settled("running"))
	assert.NilError(t, err)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(500*time.Millisecond), l.settled("short"))
	assert.ErrorIs(t, err, limit.ErrWaitTooLong)
	assert.Equal(t, limit.RetryAfter(err), time.Second)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(1500*time.Millisecond), l.settled("long"))
	assert.NilError(t, err)
}

// Guards against a place that is given to a request whose caller has given up.
func TestExpiredRequestIsNotGranted(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l log
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.settled("running"))
	assert.NilError(t, err)
	_, err = q.Offer(epoch, limit.Batch, epoch.Add(time.Second), l.settled("expired"))
	assert.NilError(t, err)
	_, err = q.Offer(epoch, limit.Batch, epoch.Add(time.Minute), l.settled("next"))
	assert.NilError(t, err)
	q.Done(epoch.Add(2*time.Second), time.Millisecond)
	assert.DeepEqual(t, l.granted, []string{"next"})
	assert.Equal(t, len(l.shed), 1)
	assert.ErrorIs(t, l.shed[0], limit.ErrExpired)
}

// Guards against a full queue of one class that refuses the other: latency-critical requests displace the newest batch
// request, but a part of the queue stays with batch.
func TestQueuePlacesByClass(t *testing.T) {
	q := limit.NewQueue(1, 10)
	var l log
	offer := func(class limit.Class) error {
		_, err := q.Offer(epoch, class, time.Time{}, l.settled(class.String()))
		return err
	}
	assert.NilError(t, offer(limit.LatencyCritical))
	for range 10 {
		assert.NilError(t, offer(limit.Batch))
	}
	assert.ErrorIs(t, offer(limit.Batch), limit.ErrQueueFull)
	for range 9 {
		assert.NilError(t, offer(limit.LatencyCritical))
	}
	assert.ErrorIs(t, offer(limit.LatencyCritical), limit.ErrQueueFull)
	assert.Equal(t, q.WaitingOf(limit.Batch), 1)
	assert.Equal(t, len(l.shed), 9)
	assert.ErrorIs(t, l.shed[0], limit.ErrDisplaced)

	q = limit.NewQueue(1, 10)
	for range 10 {
		assert.NilError(t, offer(limit.LatencyCritical))
	}
	assert.ErrorIs(t, offer(limit.LatencyCritical), limit.ErrQueueFull)
	assert.NilError(t, offer(limit.Batch))
}

// Guards against a standing queue, which adds its whole length to the latency of every request and grants no more
// of them.
func TestStandingQueueStaysShort(t *testing.T) {
	q := limit.NewQueue(1, 1000)
	now := epoch
	var longest time.Duration
	// Two requests arrive for each that can be served, for 10 s.
	for i := range 1000 {
		begin := now
		_, err := q.Offer(now, limit.LatencyCritical, now.Add(10*time.Second), func(err error) {
			if err == nil && i > 100 {
				longest = max(longest, now.Sub(begin))
			}
		})
		assert.NilError(t, err)
		now = now.Add(10 * time.Millisecond)
		if i%2 == 1 {
			q.Done(now, 20*time.Millisecond)
		}
	}
	assert.Assert(t, longest > 0)
	assert.Assert(t, longest <= 100*time.Millisecond, "a request waited %v", longest)
}

// Guards against places that are lost or granted twice, and requests that are settled twice or never, whatever the order
// of arrivals, ends, abandonments and changes of the limit.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 4).Draw(t, "concurrency")
		highest := concurrency
		q := limit.NewQueue(concurrency, rapid.IntRange(0, 8).Draw(t, "queue"))
		now := epoch
		settled := map[int]int{}
		tickets := map[int]*limit.Ticket{}
		var holders []int
		next := 0
		offer := func(class limit.Class) {
			id := next
			next++
			var deadline time.Time
			if rapid.Bool().Draw(t, "has deadline") {
				deadline = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * time.Millisecond)
			}
			ticket, err := q.Offer(now, class, deadline, func(err error) {
				settled[id]++
				if err == nil {
					holders = append(holders, id)
				}
				delete(tickets, id)
			})
			switch {
			case err != nil:
			case ticket.Granted():
				holders = append(holders, id)
			default:
				tickets[id] = ticket
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"critical": func(*rapid.T) { offer(limit.LatencyCritical) },
			"batch":    func(*rapid.T) { offer(limit.Batch) },
			"end": func(t *rapid.T) {
				if len(holders) == 0 {
					t.Skip("nothing runs")
				}
				holders = holders[1:]
				q.Done(now, 5*time.Millisecond)
			},
			"abandon": func(t *rapid.T) {
				for id := range next {
					if ticket := tickets[id]; ticket != nil {
						assert.Assert(t, q.Abandon(ticket))
						assert.Assert(t, !q.Abandon(ticket))
						delete(tickets, id)
						return
					}
				}
				t.Skip("nothing waits")
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"limit": func(t *rapid.T) {
				concurrency = rapid.IntRange(1, 4).Draw(t, "concurrency")
				highest = max(highest, concurrency)
				q.SetLimit(now, concurrency, 8)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Running(), len(holders))
				assert.Equal(t, q.Waiting(), len(tickets))
				assert.Assert(t, q.Running() <= highest)
				assert.Assert(t, q.Running() >= concurrency || q.Waiting() == 0, "a place is free while requests wait")
				for id, times := range settled {
					assert.Equal(t, times, 1, "request %d", id)
				}
			},
		})
	})
}
