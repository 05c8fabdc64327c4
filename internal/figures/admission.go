package main

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantthread/currantthread/limit"
)

func init() {
	register(measurement{ID: "admission", Name: "admission queues under overload (virtual time)", OnRequest: true, Run: runAdmission})
}

const (
	admissionConcurrency = 16
	admissionQueueLimit  = 128
	admissionServiceTime = 50 * time.Millisecond
	admissionDeadline    = 500 * time.Millisecond
	admissionDuration    = 60 * time.Second
	admissionSeed        = 11

	codelTarget   = 5 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

// admissionQueueModel is the interface of the queues under comparison.
type admissionQueueModel interface {
	offer(now time.Duration, r *admissionRequest) bool // false if the request is shed on arrival
	done(now time.Duration, held time.Duration)
}

type admissionRequest struct {
	begin, deadline time.Duration
	start           func(now time.Duration)
	drop            func()
}

// limitModel adapts limit.Queue, the queue that entry VMs use.
type limitModel struct {
	queue *limit.Queue
	epoch time.Time
	now   time.Duration
}

func (m *limitModel) offer(now time.Duration, r *admissionRequest) bool {
	at := m.epoch.Add(now)
	ticket, err := m.queue.Offer(at, limit.LatencyCritical, m.epoch.Add(r.deadline), func(err error) {
		if err != nil {
			r.drop()
			return
		}
		r.start(m.now)
	})
	if err == nil && ticket.Granted() {
		r.start(now)
	}
	return err == nil
}

func (m *limitModel) done(now, held time.Duration) { m.queue.Done(m.epoch.Add(now), held) }

// discipline is a bounded queue with a configurable service order and a rule that drops requests as they leave the queue.
type discipline struct {
	running     int
	waiting     []*admissionRequest
	newestFirst func(m *discipline, now time.Duration) bool
	shouldDrop  func(m *discipline, now time.Duration, wait time.Duration) bool

	waitAboveTargetSince, nextDropAt time.Duration
	drops                            int
	lastEmptyAt                      time.Duration
}

func (m *discipline) offer(now time.Duration, r *admissionRequest) bool {
	if m.running < admissionConcurrency && len(m.waiting) == 0 {
		m.running++
		r.start(now)
		return true
	}
	if len(m.waiting) >= admissionQueueLimit {
		return false
	}
	m.waiting = append(m.waiting, r)
	return true
}

func (m *discipline) done(now, _ time.Duration) {
	m.running--
	for m.running < admissionConcurrency && len(m.waiting) > 0 {
		r := m.dequeue(now)
		if m.shouldDrop(m, now, now-r.begin) {
			r.drop()
			continue
		}
		m.running++
		r.start(now)
	}
	if len(m.waiting) == 0 {
		m.lastEmptyAt = now
	}
}

func (m *discipline) dequeue(now time.Duration) *admissionRequest {
	i := 0
	if m.newestFirst(m, now) {
		i = len(m.waiting) - 1
	}
	r := m.waiting[i]
	m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
	return r
}

func neverNewestFirst(*discipline, time.Duration) bool { return false }

// overloaded reports whether the queue has not been empty for longer than codelInterval.
func overloaded(m *discipline, now time.Duration) bool { return now-m.lastEmptyAt > codelInterval }

func dropExpired(_ *discipline, _ time.Duration, wait time.Duration) bool {
	return wait >= admissionDeadline
}

// dropCoDel implements CoDel: once the wait has stayed above codelTarget for codelInterval, it drops requests at an
// increasing rate until the wait falls below the target.
func dropCoDel(m *discipline, now, wait time.Duration) bool {
	if wait < codelTarget || len(m.waiting) == 0 {
		m.waitAboveTargetSince, m.drops = 0, 0
		return wait >= admissionDeadline
	}
	if m.waitAboveTargetSince == 0 {
		m.waitAboveTargetSince = now
	}
	if now-m.waitAboveTargetSince < codelInterval || now < m.nextDropAt {
		return wait >= admissionDeadline
	}
	m.drops++
	m.nextDropAt = now + time.Duration(float64(codelInterval)/math.Sqrt(float64(m.drops)))
	return true
}

// dropCoDelTimeout is the CoDel variant for request queues. While the queue has not been empty for codelInterval, it drops
// requests that waited for codelTarget plus a tenth of codelInterval; otherwise it drops them after codelInterval.
func dropCoDelTimeout(m *discipline, now, wait time.Duration) bool {
	if overloaded(m, now) {
		return wait >= codelInterval/10+codelTarget
	}
	return wait >= codelInterval
}

type admissionResult struct {
	offered, inTime, late, shedAtOnce, dropped int
	latency                                    *hdrhistogram.Histogram // microseconds
}

// admissionLoad returns the offered load relative to the capacity: 10 s of overload alternate with 5 s of light load.
func admissionLoad(now time.Duration, overload float64) float64 {
	if now%(15*time.Second) < 10*time.Second {
		return overload
	}
	return 0.5
}

func admissionRun(model admissionQueueModel, overload float64) admissionResult {
	rng := rand.New(rand.NewPCG(admissionSeed, 1))
	result := admissionResult{latency: hdrhistogram.New(1, 1e8, 3)}
	capacity := admissionConcurrency / admissionServiceTime.Seconds()
	events := &admissionEvents{}
	var seq int
	at := func(when time.Duration, f func(time.Duration)) {
		seq++
		heap.Push(events, admissionEvent{when, seq, f})
	}
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		rate := capacity * admissionLoad(now, overload)
		at(now+time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		result.offered++
		r := &admissionRequest{begin: now, deadline: now + admissionDeadline}
		r.drop = func() { result.dropped++ }
		r.start = func(started time.Duration) {
			held := time.Duration(rng.ExpFloat64() * float64(admissionServiceTime))
			at(started+held, func(ended time.Duration) {
				_ = result.latency.RecordValue(int64((ended - r.begin) / time.Microsecond))
				if ended <= r.deadline {
					result.inTime++
				} else {
					result.late++
				}
				model.done(ended, held)
			})
		}
		if !model.offer(now, r) {
			result.shedAtOnce++
		}
	}
	at(0, arrive)
	for events.Len() > 0 {
		next := heap.Pop(events).(admissionEvent)
		if next.at > admissionDuration {
			break
		}
		if m, ok := model.(*limitModel); ok {
			m.now = next.at
		}
		next.run(next.at)
	}
	return result
}

func runAdmission(out io.Writer) ([]bound, error) {
	models := []struct {
		name string
		make func() admissionQueueModel
	}{
		{"limit.Queue", func() admissionQueueModel {
			return &limitModel{queue: limit.NewQueue(admissionConcurrency, admissionQueueLimit), epoch: time.Unix(0, 0)}
		}},
		{"FIFO", func() admissionQueueModel { return &discipline{newestFirst: neverNewestFirst, shouldDrop: dropExpired} }},
		{"CoDel", func() admissionQueueModel { return &discipline{newestFirst: neverNewestFirst, shouldDrop: dropCoDel} }},
		{"CoDel timeout", func() admissionQueueModel {
			return &discipline{newestFirst: neverNewestFirst, shouldDrop: dropCoDelTimeout}
		}},
		{"adaptive LIFO", func() admissionQueueModel { return &discipline{newestFirst: overloaded, shouldDrop: dropExpired} }},
		{"adaptive LIFO, CoDel timeout", func() admissionQueueModel {
			return &discipline{newestFirst: overloaded, shouldDrop: dropCoDelTimeout}
		}},
	}
	for _, overload := range []float64{1.2, 2} {
		_, _ = fmt.Fprintf(out, "%gx overload for 10 of every 15 s:\n", overload)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintln(table, "queue\toffered\tin time\tlate\tshed at once\tdropped in the queue\tp50 ms\tp99 ms\t")
		for _, model := range models {
			r := admissionRun(model.make(), overload)
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n", model.name, r.offered, r.inTime, r.late,
				r.shedAtOnce, r.dropped, quantile(r.latency, 50), quantile(r.latency, 99))
		}
		_ = table.Flush()
	}
	return nil, nil
}

type admissionEvent struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type admissionEvents []admissionEvent

func (h admissionEvents) Len() int { return len(h) }
func (h admissionEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h admissionEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *admissionEvents) Push(x any) { *h = append(*h, x.(admissionEvent)) }

// Pop implements heap.Interface.
func (h *admissionEvents) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
