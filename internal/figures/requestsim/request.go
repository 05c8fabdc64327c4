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
func (sim *Simulation) Arrive(entry int, class limit.Class, timeout time.Duration) {
	if timeout == 0 {
		timeout = sim.Config.Timeout
	}
	r := &request{entry: sim.Entries[entry], class: class, begin: sim.now, deadline: sim.now + timeout,
		measured: sim.now >= sim.MeasureFrom}
	sim.count(r, func(s *Stats) { s.Sent++ })
	r.entry.retries.Deposit()
	onDecision := func(err error) { sim.admitted(r, err) }
	ticket, err := r.entry.queue.Offer(sim.Time(), class, sim.epoch.Add(r.deadline), onDecision)
	if err != nil || ticket.Granted() {
		sim.admitted(r, err)
	}
}

func (sim *Simulation) admitted(r *request, err error) {
	if err != nil {
		sim.count(r, func(s *Stats) { s.Shed++ })
		return
	}
	r.granted = sim.now
	sim.count(r, func(s *Stats) { s.MaxWait = max(s.MaxWait, sim.now-r.begin) })
	// The queue calls this function when it grants a request, and must not be called again before that call returns.
	sim.After(0, func() { sim.startAttempt(r) })
}

// startAttempt chooses a runner and sends the request to it. Without a usable runner the request ends as NoRoute.
func (sim *Simulation) startAttempt(r *request) {
	e, err := r.entry.Set.PickAt(sim.Time(), r.triedEndpoints, sim.maySendAcrossRegions(r.entry))
	if err != nil {
		sim.count(r, func(s *Stats) { s.NoRoute++ })
		sim.releaseSlot(r)
		return
	}
	if e.Region != r.entry.Region {
		r.entry.bytes.AllowAt(sim.Time(), sim.Config.RequestBytes)
		sim.count(r, func(s *Stats) { s.Crossed++ })
	}
	e.BeginAt(sim.Time())
	a := &attempt{request: r, endpoint: e, runner: sim.byID[e.ID], begin: sim.now}
	a.runner.Assigned++
	a.runner.LastSent = sim.now
	sim.At(r.deadline, func() { sim.endAttempt(a, route.Result{Outcome: route.OutcomeTimeout}, false) })
	if sim.cut[[2]string{r.entry.Region, a.runner.VM.Region}] {
		sim.After(sim.Config.ConnectTimeout, func() { sim.endAttempt(a, route.Result{Outcome: route.OutcomeConnFailed}, true) })
		return
	}
	sim.After(sim.Delay(r.entry, a.runner), func() { sim.arriveAtRunner(a) })
}

func (sim *Simulation) maySendAcrossRegions(e *Entry) bool {
	return sim.Config.RequestBytes == 0 || e.bytes.Available(sim.Time()) >= sim.Config.RequestBytes
}

// arriveAtRunner handles the arrival of a request at the runner.
func (sim *Simulation) arriveAtRunner(a *attempt) {
	r := a.runner
	a.arrived = sim.now
	switch r.Mode {
	case ModeDead:
		sim.reply(a, 0, route.Result{Outcome: route.OutcomeConnFailed}, true)
	case ModeFailing:
		sim.reply(a, errorLatency, route.Result{Outcome: route.OutcomeError}, true)
	case ModeSilent:
	case ModeLeaving:
		sim.reply(a, 0, route.Result{Outcome: route.OutcomeRefused, Leaving: true}, true)
	case ModeOK:
		a.inFlightOnArrival = r.running + len(r.queue)
		r.queue = append(r.queue, a)
		sim.startQueued(r)
	}
}

// startQueued starts queued requests on free slots.
func (sim *Simulation) startQueued(r *Runner) {
	for r.running < r.Slots && len(r.queue) > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		r.running++
		sim.After(sim.serviceTime(r), func() { sim.finish(a) })
	}
}

func (sim *Simulation) finish(a *attempt) {
	r := a.runner
	r.running--
	r.recordLatency(sim.now, a.inFlightOnArrival, sim.now-a.arrived)
	if r.Mode == ModeOK || r.Mode == ModeLeaving {
		sim.reply(a, 0, route.Result{Outcome: route.OutcomeOK, Leaving: r.Mode == ModeLeaving}, false)
	}
	sim.startQueued(r)
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
func (sim *Simulation) reply(a *attempt, after time.Duration, result route.Result, retry bool) {
	r := a.runner
	if !sim.Config.NoReports && result.Outcome != route.OutcomeConnFailed {
		result.Load = route.Load{InFlight: r.running, Slots: r.VM.Slots, Queue: len(r.queue), Valid: true}
	}
	if sim.cut[[2]string{a.request.entry.Region, r.VM.Region}] {
		return
	}
	sim.After(after+sim.Delay(a.request.entry, r), func() { sim.endAttempt(a, result, retry) })
}

// endAttempt handles the result of an attempt at the entry VM: it retries the request or counts its outcome.
func (sim *Simulation) endAttempt(a *attempt, result route.Result, retry bool) {
	if a.ended {
		return
	}
	a.ended = true
	result.Latency = sim.now - a.begin
	a.endpoint.EndAt(sim.Time(), result)
	r := a.request
	if result.Outcome != route.OutcomeOK && retry && r.retries < sim.Config.MaxRetries &&
		r.entry.retries.WithdrawAt(sim.Time()) {
		r.retries++
		r.triedEndpoints = append(r.triedEndpoints, a.endpoint)
		sim.count(r, func(s *Stats) { s.Retries++ })
		sim.startAttempt(r)
		return
	}
	sim.count(r, func(s *Stats) {
		if result.Outcome == route.OutcomeOK {
			s.OK++
		} else {
			s.Failed++
		}
		_ = s.Latency.RecordValue(max(int64((sim.now-r.begin)/time.Microsecond), 1)) // in range, because deadlines limit it
	})
	sim.releaseSlot(r)
}

// releaseSlot returns the request's admission slot to the queue of its entry VM.
func (sim *Simulation) releaseSlot(r *request) { r.entry.queue.Done(sim.Time(), sim.now-r.granted) }

func (sim *Simulation) count(r *request, f func(*Stats)) {
	if r.measured {
		f(sim.Stats[r.class])
	}
}
