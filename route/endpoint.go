package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// Outcome is how a request to an endpoint ended.
type Outcome uint8

const (
	// OutcomeOK is a response that is not a server error.
	OutcomeOK Outcome = iota
	// OutcomeError is a 5xx response, a truncated response, or the response to another request.
	OutcomeError
	// OutcomeRefused is a refusal before running, because the upstream is busy or leaving.
	OutcomeRefused
	// OutcomeTimeout is a request without a response within its deadline.
	OutcomeTimeout
	// OutcomeConnFailed is a connection that could not be opened or that broke.
	OutcomeConnFailed
	// OutcomeCancelled is a request that its caller cancelled.
	OutcomeCancelled
)

// failed reports whether the outcome counts as a failure of the endpoint.
func (o Outcome) failed() bool {
	return o == OutcomeError || o == OutcomeTimeout || o == OutcomeConnFailed
}

// Load is the load that an upstream reports.
type Load struct {
	// InFlight is the number of requests that the upstream is processing, Queue the number that wait in it.
	InFlight, Slots, Queue int
	// Valid is false if the upstream reported no load.
	Valid bool
}

// Result is the outcome of one request.
type Result struct {
	Outcome Outcome
	// Latency is the time from sending the request to its outcome.
	Latency time.Duration
	Load    Load
	// Leaving is true if the upstream reported that it is leaving.
	Leaving bool
}

const (
	// maxReportAge is the age at which a reported load is no longer used.
	maxReportAge = 500 * time.Millisecond
	// latencyWeight is the weight of a new sample in an endpoint's latency average.
	latencyWeight = 0.3
	// latencyDecay is the time without a sample after which half of an endpoint's excess latency is ignored, so that an
	// endpoint that was slow gets an occasional request.
	latencyDecay = 5 * time.Second
	// A failed request counts as taking at least errorSlowdown times the usual latency.
	errorSlowdown = 20
	// defaultSlots applies to upstreams whose slots are unknown.
	defaultSlots = 8
)

// Endpoint is one upstream of a service with the state that one entry VM keeps about it. Its counters are atomic.
type Endpoint struct {
	ID      string
	Addr    string
	Region  string
	Domain  string
	Service string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Connections is the number of connections that the upstream accepts from all entry VMs together; 0 means unknown.
	Connections int

	set  *Set
	tier *tierStats

	inFlight atomic.Int64
	// effectiveSlots is the number of requests that the endpoint is observed to process concurrently, at most the number
	// stated by it or by the VM list.
	effectiveSlots atomic.Int64
	report         atomic.Uint64 // see packReport
	latency        averagedTime
	// progressAt is when the endpoint last responded, or when its first request after an idle period began.
	progressAt atomic.Int64
	health     health
}

func newEndpoint(set *Set, vm infra.VM) *Endpoint {
	slots := vm.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	e := &Endpoint{ID: vm.ID, Addr: vm.Addr, Region: vm.Region, Domain: vm.Domain, Service: vm.Service,
		Slots: slots, Connections: vm.Connections, set: set}
	e.effectiveSlots.Store(int64(slots))
	e.tier = &set.tiers[set.tierOf(e)]
	return e
}

// Begin records that a request was assigned to the endpoint. Each Begin must be followed by one End.
func (e *Endpoint) Begin() { e.BeginAt(time.Now()) }

// BeginAt is Begin at a given instant, for simulations.
func (e *Endpoint) BeginAt(now time.Time) {
	if e.inFlight.Load() == 0 {
		e.progressAt.Store(e.set.since(now))
	}
	e.inFlight.Add(1)
}

// End records the outcome of a request.
func (e *Endpoint) End(result Result) { e.EndAt(time.Now(), result) }

// EndAt is End at a given instant, for simulations.
func (e *Endpoint) EndAt(now time.Time, result Result) {
	at := e.set.since(now)
	local := e.inFlight.Add(-1)
	if result.Load.Valid {
		e.recordLoad(at, local, result.Load)
	}
	if result.Outcome == OutcomeRefused && !result.Load.Valid {
		e.recordLoad(at, local, Load{InFlight: e.Slots, Queue: 1})
	}
	e.recordLatency(at, result)
	if result.Outcome != OutcomeTimeout && result.Outcome != OutcomeCancelled {
		e.progressAt.Store(at)
	}
	if result.Leaving {
		e.set.markLeaving(e, at)
	}
	e.health.recordOutcome(e, at, result.Outcome)
}

// InFlight returns the number of this entry VM's requests in flight at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// Leaving reports whether the endpoint gets no new requests because it or the VM list reported that it is leaving.
func (e *Endpoint) Leaving() bool { return e.health.leavingAt.Load() != 0 }

func (e *Endpoint) recordLoad(at, local int64, load Load) {
	total := int64(load.InFlight) + int64(load.Queue)
	e.report.Store(packReport(at, total, local))
	e.adjustSlots(load)
	e.tier.others.add(float64(max(total-local, 0)), meanWeight)
}

// adjustSlots lowers the number of slots if the endpoint reports a queue while it has free slots: it then processes fewer
// requests than it states, for example because other processes on its VM use its processors. It restores the stated
// number when the endpoint processes at least as many requests as the lowered number.
func (e *Endpoint) adjustSlots(load Load) {
	busy := int64(max(load.InFlight, 1))
	switch stated := int64(load.Slots); {
	case stated <= 0:
	case load.Queue > 0 && busy < stated:
		e.effectiveSlots.Store(busy)
	case busy >= e.effectiveSlots.Load():
		e.effectiveSlots.Store(stated)
	}
}

func (e *Endpoint) recordLatency(at int64, result Result) {
	sample := float64(result.Latency)
	usual := e.tier.latency.value()
	switch {
	case result.Outcome.failed():
		sample = max(sample, errorSlowdown*usual)
	case result.Outcome == OutcomeRefused:
		return
	case result.Outcome == OutcomeCancelled && sample < e.latency.value():
		return // the request was cancelled before it could show that the endpoint is slower than its average
	case result.Outcome == OutcomeOK:
		e.tier.recordLatency(sample)
	}
	e.latency.add(at, sample)
}

// load estimates the number of requests of all entry VMs at the endpoint. It corrects the last report by the requests
// that this entry VM has begun and ended since. As the report ages, its weight shrinks in favour of an estimate from this
// entry VM's requests and the usual load by other entry VMs.
func (e *Endpoint) load(at int64) float64 {
	local := e.inFlight.Load()
	packed := e.report.Load()
	unknown := e.tier.others.value() + float64(local)
	if packed == 0 {
		return unknown
	}
	reportedAt, total, localThen := unpackReport(packed)
	age := float64(at-reportedAt) / float64(maxReportAge)
	if age >= 1 {
		return unknown
	}
	fresh := float64(max(total+local-localThen, local))
	return fresh + max(age, 0)*(unknown-fresh)
}

// slowdown returns the ratio of the endpoint's latency to the usual latency in its tier, at least 1.
func (e *Endpoint) slowdown(at int64) float64 {
	usual := e.tier.latency.value()
	if usual <= 0 {
		return 1
	}
	latency := e.latency.value()
	excess := max(latency-usual, 0)
	idle := float64(max(at-e.latency.at.Load(), 0)) / float64(latencyDecay)
	latency = usual + excess/(1+idle)
	if e.inFlight.Load() > 0 {
		latency = max(latency, float64(at-e.progressAt.Load()))
	}
	ratio := latency / usual
	if ratio < slowdownFloor {
		return 1
	}
	return ratio
}

// slowdownFloor is the ratio to the usual latency below which a difference is treated as random variation.
const slowdownFloor = 2

// cost returns the estimated cost of a request to the endpoint, by which endpoints are compared; lower is better.
func (e *Endpoint) cost(at int64) float64 {
	return (e.load(at) + 1) / float64(e.effectiveSlots.Load()) * e.slowdown(at)
}

// hasFreeSlot reports whether a new request would probably not wait for a slot.
func (e *Endpoint) hasFreeSlot(at int64) bool {
	return e.load(at)+1 <= float64(e.effectiveSlots.Load())
}

// delay estimates how much longer than usual a new request would take because no slot is free or the endpoint is slow. It
// serves to compare localities.
func (e *Endpoint) delay(at int64) time.Duration {
	slots := float64(e.effectiveSlots.Load())
	queued := max(e.load(at)+1-slots, 0) / slots
	slowdown := e.slowdown(at)
	return time.Duration(((1+queued)*slowdown - 1) * e.tier.latency.value())
}

const (
	reportCountBits = 13
	reportCountMax  = 1<<reportCountBits - 1
	reportTimeUnit  = int64(time.Millisecond)
)

// packReport packs the time in milliseconds plus one, the reported load and the local requests in flight into one word,
// so that readers get all three from the same report. 0 means no report.
func packReport(at, total, local int64) uint64 {
	clamp := func(v int64) uint64 { return uint64(min(max(v, 0), reportCountMax)) }
	return uint64(at/reportTimeUnit+1)<<(2*reportCountBits) | clamp(total)<<reportCountBits | clamp(local)
}

func unpackReport(packed uint64) (at, total, local int64) {
	at = (int64(packed>>(2*reportCountBits)) - 1) * reportTimeUnit
	return at, int64(packed >> reportCountBits & reportCountMax), int64(packed & reportCountMax)
}

// averagedTime is an exponentially weighted average of times in nanoseconds, with the time of its last sample.
type averagedTime struct {
	average average
	at      atomic.Int64
}

func (a *averagedTime) value() float64 { return a.average.value() }

func (a *averagedTime) add(at int64, sample float64) {
	a.average.add(sample, latencyWeight)
	a.at.Store(at)
}

// average is an exponentially weighted average. Its zero value has no sample and the value 0.
type average struct {
	bits atomic.Uint64
}

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) set(v float64) { a.bits.Store(math.Float64bits(v)) }

func (a *average) add(sample, weight float64) {
	for {
		old := a.bits.Load()
		next := sample
		if old != 0 {
			previous := math.Float64frombits(old)
			next = previous + weight*(sample-previous)
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
