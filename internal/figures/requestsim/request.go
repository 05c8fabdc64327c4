package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
)

// latencyWeight is the weight of a new sample in a runner's moving average of latency.
const latencyWeight = 0.1

// errorLatency is the time after which a failing runner responds.
const errorLatency = time.Millisecond

// request is one request of a caller.
type request struct {
	entry          *Entry
	class          limit.Class
	begin          time.Duration
	deadline       time.Duration
	granted        time.Duration
	triedEndpoints []*route.Endpoint
	retries        int
	measured       bool
}

// attempt is one attempt to process a request at a runner.
type attempt struct {
	request           *request
	endpoint          *route.Endpoint
	runner            *Runner
	begin             time.Duration
	arrived           time.Duration
	inFlightOnArrival int // requests in flight at the runner on arrival
	ended             bool
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
	onDecision := func(err error) { w.admitted(r, err) }
	ticket, err := r.entry.queue.Offer(w.Time(), class, w.epoch.Add(r.deadline), onDecision)
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
	// The queue calls this function when it grants a request, and must not be called again before that call returns.
	w.After(0, func() { w.startAttempt(r) })
}

// startAttempt chooses a runner and sends the request to it. Without a usable runner the request ends as NoRoute.
func (w *World) startAttempt(r *request) {
	e, err := r.entry.Set.PickAt(w.Time(), r.triedEndpoints, w.maySendAcrossRegions(r.entry))
	if err != nil {
		w.count(r, func(s *Stats) { s.NoRoute++ })
		w.releaseSlot(r)
		return
	}
	if e.Region != r.entry.Region {
		r.entry.bytes.AllowAt(w.Time(), w.Config.Size)
		w.count(r, func(s *Stats) { s.Crossed++ })
	}
	e.BeginAt(w.Time())
	a := &attempt{request: r, endpoint: e, runner: w.byID[e.ID], begin: w.now}
	a.runner.Assigned++
	a.runner.Last = w.now
	w.At(r.deadline, func() { w.endAttempt(a, route.Result{Outcome: route.OutcomeTimeout}, false) })
	if w.cut[[2]string{r.entry.Region, a.runner.VM.Region}] {
		w.After(w.Config.ConnectTimeout, func() { w.endAttempt(a, route.Result{Outcome: route.OutcomeConnFailed}, true) })
		return
	}
	w.After(w.Delay(r.entry, a.runner), func() { w.arriveAtRunner(a) })
}

func (w *World) maySendAcrossRegions(e *Entry) bool {
	return w.Config.Size == 0 || e.bytes.Available(w.Time()) >= w.Config.Size
}

// arriveAtRunner handles the arrival of a request at the runner.
func (w *World) arriveAtRunner(a *attempt) {
	r := a.runner
	a.arrived = w.now
	switch r.Mode {
	case ModeDead:
		w.reply(a, 0, route.Result{Outcome: route.OutcomeConnFailed}, true)
	case ModeFailing:
		w.reply(a, errorLatency, route.Result{Outcome: route.OutcomeError}, true)
	case ModeSilent:
	case ModeLeaving:
		w.reply(a, 0, route.Result{Outcome: route.OutcomeRefused, Leaving: true}, true)
	case ModeOK:
		a.inFlightOnArrival = r.running + len(r.queue)
		r.queue = append(r.queue, a)
		w.startQueued(r)
	}
}

// startQueued starts queued requests on free slots.
func (w *World) startQueued(r *Runner) {
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
	r.recordLatency(w.now, a.inFlightOnArrival, w.now-a.arrived)
	if r.Mode == ModeOK || r.Mode == ModeLeaving {
		w.reply(a, 0, route.Result{Outcome: route.OutcomeOK, Leaving: r.Mode == ModeLeaving}, false)
	}
	w.startQueued(r)
}

func (r *Runner) recordLatency(now time.Duration, inFlightOnArrival int, latency time.Duration) {
	level := &r.latency[min(inFlightOnArrival, latencyLevels-1)]
	if level.average == 0 || now-level.at >= latencyMaxAge {
		level.average = float64(latency)
	}
	level.average += latencyWeight * (float64(latency) - level.average)
	level.at = now
}

// reply sends a result to the entry VM, together with the present load of the runner.
func (w *World) reply(a *attempt, after time.Duration, result route.Result, retry bool) {
	r := a.runner
	if !w.Config.NoReports && result.Outcome != route.OutcomeConnFailed {
		result.Load = route.Load{InFlight: r.running, Slots: r.VM.Slots, Queue: len(r.queue), Valid: true}
	}
	if w.cut[[2]string{a.request.entry.Region, r.VM.Region}] {
		return
	}
	w.After(after+w.Delay(a.request.entry, r), func() { w.endAttempt(a, result, retry) })
}

// endAttempt handles the result of an attempt at the entry VM: it retries the request or counts its outcome.
func (w *World) endAttempt(a *attempt, result route.Result, retry bool) {
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
		r.triedEndpoints = append(r.triedEndpoints, a.endpoint)
		w.count(r, func(s *Stats) { s.Retries++ })
		w.startAttempt(r)
		return
	}
	w.count(r, func(s *Stats) {
		if result.Outcome == route.OutcomeOK {
			s.OK++
		} else {
			s.Failed++
		}
		_ = s.Latency.RecordValue(max(int64((w.now-r.begin)/time.Microsecond), 1)) // in range, because deadlines limit it
	})
	w.releaseSlot(r)
}

// releaseSlot returns the request's admission slot to the queue of its entry VM.
func (w *World) releaseSlot(r *request) { r.entry.queue.Done(w.Time(), w.now-r.granted) }

func (w *World) count(r *request, f func(*Stats)) {
	if r.measured {
		f(w.Stats[r.class])
	}
}
