package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
)

// latencyWeight is the weight of a sample in a runner's own average.
const latencyWeight = 0.1

// errorTime is how long a failing runner takes for its answer.
const errorTime = time.Millisecond

// request is one request of a caller.
type request struct {
	entry    *Entry
	class    limit.Class
	begin    time.Duration
	deadline time.Duration
	granted  time.Duration
	tried    []*route.Endpoint
	retries  int
	measured bool
}

// attempt is one exchange of a request with a runner.
type attempt struct {
	request  *request
	endpoint *route.Endpoint
	runner   *Runner
	begin    time.Duration
	arrived  time.Duration
	found    int // requests at the runner on arrival
	ended    bool
}

// Arrive makes a request arrive at an entry VM now. A timeout of 0 means Config.Timeout.
func (w *World) Arrive(entry int, class limit.Class, timeout time.Duration) {
	if timeout == 0 {
		timeout = w.Config.Timeout
	}
	r := &request{entry: w.Entries[entry], class: class, begin: w.now, deadline: w.now + timeout,
		measured: w.now >= w.MeasureFrom}
	w.count(r, func(s *Stats) { s.Sent++ })
	r.entry.retries.Deposit()
	settled := func(err error) { w.admitted(r, err) }
	ticket, err := r.entry.queue.Offer(w.Time(), class, w.epoch.Add(r.deadline), settled)
	if err != nil || ticket.Granted() {
		w.admitted(r, err)
	}
}

func (w *World) admitted(r *request, err error) {
	if err != nil {
		w.count(r, func(s *Stats) { s.Shed++ })
		return
	}
	r.granted = w.now
	w.count(r, func(s *Stats) { s.MaxWait = max(s.MaxWait, w.now-r.begin) })
	// A grant comes from within the queue, which must not be called again before it returns.
	w.After(0, func() { w.try(r) })
}

func (w *World) try(r *request) {
	e, err := r.entry.Set.PickAt(w.Time(), r.tried, w.mayCross(r.entry))
	if err != nil {
		w.count(r, func(s *Stats) { s.NoRoute++ })
		w.leave(r)
		return
	}
	if e.Region != r.entry.Region {
		r.entry.bytes.TakeAt(w.Time(), w.Config.Size)
		w.count(r, func(s *Stats) { s.Crossed++ })
	}
	e.BeginAt(w.Time())
	a := &attempt{request: r, endpoint: e, runner: w.byID[e.ID], begin: w.now}
	a.runner.Assigned++
	a.runner.Last = w.now
	w.At(r.deadline, func() { w.end(a, route.Result{Outcome: route.OutcomeTimeout}, false) })
	if w.cut[[2]string{r.entry.Region, a.runner.VM.Region}] {
		w.After(w.Config.ConnectTimeout, func() { w.end(a, route.Result{Outcome: route.OutcomeConnFailed}, true) })
		return
	}
	w.After(w.Delay(r.entry, a.runner), func() { w.arriveAt(a) })
}

func (w *World) mayCross(e *Entry) bool {
	return w.Config.Size == 0 || e.bytes.Available(w.Time()) >= w.Config.Size
}

// arriveAt is the request's arrival at the runner.
func (w *World) arriveAt(a *attempt) {
	r := a.runner
	a.arrived = w.now
	switch r.Mode {
	case ModeDead:
		w.reply(a, 0, route.Result{Outcome: route.OutcomeConnFailed}, true)
	case ModeFailing:
		w.reply(a, errorTime, route.Result{Outcome: route.OutcomeError}, true)
	case ModeSilent:
	case ModeLeaving:
		w.reply(a, 0, route.Result{Outcome: route.OutcomeRefused, Leaving: true}, true)
	case ModeOK:
		a.found = r.running + len(r.queue)
		r.queue = append(r.queue, a)
		w.work(r)
	}
}

// work starts queued requests on free slots.
func (w *World) work(r *Runner) {
	for r.running < r.Slots && len(r.queue) > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		r.running++
		w.After(w.serviceTime(r), func() { w.finish(a) })
	}
}

func (w *World) finish(a *attempt) {
	r := a.runner
	r.running--
	r.noteLatency(w.now, a.found, w.now-a.arrived)
	if r.Mode == ModeOK || r.Mode == ModeLeaving {
		w.reply(a, 0, route.Result{Outcome: route.OutcomeOK, Leaving: r.Mode == ModeLeaving}, false)
	}
	w.work(r)
}

func (r *Runner) noteLatency(now time.Duration, found int, latency time.Duration) {
	level := &r.latency[min(found, latencyLevels-1)]
	if level.average == 0 || now-level.at >= latencyFresh {
		level.average = float64(latency)
	}
	level.average += latencyWeight * (float64(latency) - level.average)
	level.at = now
}

// reply sends a result back to the entry VM, with the runner's load now.
func (w *World) reply(a *attempt, after time.Duration, result route.Result, retry bool) {
	r := a.runner
	if !w.Config.NoReports && result.Outcome != route.OutcomeConnFailed {
		result.Load = route.Load{InFlight: r.running, Slots: r.VM.Slots, Queue: len(r.queue), Valid: true}
	}
	if w.cut[[2]string{a.request.entry.Region, r.VM.Region}] {
		return
	}
	w.After(after+w.Delay(a.request.entry, r), func() { w.end(a, result, retry) })
}

// end is the end of an attempt as the entry VM sees it.
func (w *World) end(a *attempt, result route.Result, retry bool) {
	if a.ended {
		return
	}
	a.ended = true
	result.Latency = w.now - a.begin
	a.endpoint.EndAt(w.Time(), result)
	r := a.request
	if result.Outcome != route.OutcomeOK && retry && r.retries < w.Config.MaxRetries &&
		r.entry.retries.WithdrawAt(w.Time()) {
		r.retries++
		r.tried = append(r.tried, a.endpoint)
		w.count(r, func(s *Stats) { s.Retries++ })
		w.try(r)
		return
	}
	w.count(r, func(s *Stats) {
		if result.Outcome == route.OutcomeOK {
			s.OK++
		} else {
			s.Failed++
		}
		_ = s.Latency.RecordValue(max(int64((w.now-r.begin)/time.Microsecond), 1)) // longer than the bound is impossible
	})
	w.leave(r)
}

// leave gives the request's place in the entry VM back.
func (w *World) leave(r *request) { r.entry.queue.Done(w.Time(), w.now-r.granted) }

func (w *World) count(r *request, f func(*Stats)) {
	if r.measured {
		f(w.Stats[r.class])
	}
}
