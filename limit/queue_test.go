package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/limit"
)

var epoch = time.Date(2027, 3, 7, 8, 0, 0, 0, time.UTC)

// resolutions records how waiting requests are resolved, in order.
type resolutions struct {
	granted []string
	shed    []error
}

func (l *resolutions) onResolved(name string) func(error) {
	return func(err error) {
		if err != nil {
			l.shed = append(l.shed, err)
			return
		}
		l.granted = append(l.granted, name)
	}
}

// A steady stream of latency-critical requests must be granted before batch requests, but must not starve them beyond
// BatchEvery.
func TestBatchWaitsWithinBound(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l resolutions
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.onResolved("running"))
	assert.NilError(t, err)
	for range 2 {
		_, err = q.Offer(epoch, limit.Batch, time.Time{}, l.onResolved("batch"))
		assert.NilError(t, err)
	}
	now := epoch
	for range 3 * limit.BatchEvery {
		_, err = q.Offer(now, limit.LatencyCritical, time.Time{}, l.onResolved("critical"))
		assert.NilError(t, err)
		now = now.Add(time.Millisecond)
		q.Done(now, time.Millisecond)
	}
	var positions []int
	for i, name := range l.granted {
		if name == "batch" {
			positions = append(positions, i+1)
		}
	}
	assert.DeepEqual(t, positions, []int{limit.BatchEvery, 2 * limit.BatchEvery})
}

// Requests must be refused immediately if they cannot be granted before their deadline.
func TestShedsWhenWaitExceedsTimeLeft(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l resolutions
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.onResolved("first"))
	assert.NilError(t, err)
	q.Done(epoch.Add(time.Second), time.Second) // the average service time is now 1 s
	now := epoch.Add(time.Second)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(time.Minute), l.onResolved("running"))
	assert.NilError(t, err)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(500*time.Millisecond), l.onResolved("short"))
	assert.ErrorIs(t, err, limit.ErrWaitTooLong)
	assert.Equal(t, limit.RetryAfter(err), time.Second)
	_, err = q.Offer(now, limit.LatencyCritical, now.Add(1500*time.Millisecond), l.onResolved("long"))
	assert.NilError(t, err)
}

// A slot must not be granted to a request whose deadline has passed.
func TestExpiredRequestIsNotGranted(t *testing.T) {
	q := limit.NewQueue(1, 100)
	var l resolutions
	_, err := q.Offer(epoch, limit.LatencyCritical, time.Time{}, l.onResolved("running"))
	assert.NilError(t, err)
	_, err = q.Offer(epoch, limit.Batch, epoch.Add(time.Second), l.onResolved("expired"))
	assert.NilError(t, err)
	_, err = q.Offer(epoch, limit.Batch, epoch.Add(time.Minute), l.onResolved("next"))
	assert.NilError(t, err)
	q.Done(epoch.Add(2*time.Second), time.Millisecond)
	assert.DeepEqual(t, l.granted, []string{"next"})
	assert.Equal(t, len(l.shed), 1)
	assert.ErrorIs(t, l.shed[0], limit.ErrExpired)
}

// A full queue of one class must not refuse the other class: latency-critical requests displace the newest batch
// request, but a part of the queue is reserved for batch.
func TestQueueCapacityByClass(t *testing.T) {
	q := limit.NewQueue(1, 10)
	var l resolutions
	offer := func(class limit.Class) error {
		_, err := q.Offer(epoch, class, time.Time{}, l.onResolved(class.String()))
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

// A standing queue must stay short: it adds its whole length to the latency of each request without more throughput.
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

// No order of arrivals, ends, abandonments and changes of the limit may leak a slot or grant it twice, or resolve a
// request twice or never.
func TestQueueAccountsForSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 4).Draw(t, "concurrency")
		highest := concurrency
		q := limit.NewQueue(concurrency, rapid.IntRange(0, 8).Draw(t, "queue"))
		now := epoch
		resolved := map[int]int{}
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
				resolved[id]++
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
				assert.Assert(t, q.Running() >= concurrency || q.Waiting() == 0, "a slot is free while requests wait")
				for id, times := range resolved {
					assert.Equal(t, times, 1, "request %d", id)
				}
			},
		})
	})
}
