package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// health is the ejection state of an endpoint. Readers use the atomic fields; writers of the ejection fields hold the
// set's lock.
//
// An ejected endpoint gets no requests until ejectedUntil. After that it is on trial: it gets one request at a time until
// one succeeds. Then its share of the requests grows over Config.ReturnRamp.
type health struct {
	failures     atomic.Int32 // consecutive
	ejectedUntil atomic.Int64 // 0 when not ejected and not on trial
	rampFrom     atomic.Int64 // when the return began; 0 when it is complete
	leavingAt    atomic.Int64 // when leaving was reported; 0 when not leaving

	ejections     int  // since the last complete return
	listedLeaving bool // the VM list showed that the endpoint is leaving
}

// initialShare is the share of its usual requests that an endpoint gets at the start of its return.
const initialShare = 0.1

// full reports whether this entry VM uses its whole share of the endpoint's connections.
func (e *Endpoint) full() bool {
	entries := e.set.config.Load().EntryVMs
	if entries == 0 || e.Connections == 0 {
		return false
	}
	return e.inFlight.Load() >= int64(max(e.Connections/entries, 1))
}

// usable reports whether the endpoint may be chosen at time at, and whether it must be chosen as a trial.
func (h *health) usable(e *Endpoint, at int64, rng *rand.Rand) (ok, trial bool) {
	if until := h.ejectedUntil.Load(); until != 0 {
		trial = at >= until && e.inFlight.Load() == 0
		return trial, trial
	}
	from := h.rampFrom.Load()
	if from == 0 {
		return true, false
	}
	share := initialShare + float64(at-from)/float64(e.set.config.Load().ReturnRamp)
	return share >= 1 || rng.Float64() < share, false
}

func (h *health) recordOutcome(e *Endpoint, at int64, outcome Outcome) {
	switch {
	case outcome.failed():
		failures := h.failures.Add(1)
		if int(failures) >= e.set.config.Load().EjectAfter || h.returning() {
			e.set.eject(e, at)
		}
	case outcome == OutcomeOK:
		h.failures.Store(0)
		if h.returning() {
			e.set.restore(e, at)
		}
	}
}

func (h *health) returning() bool { return h.ejectedUntil.Load() != 0 || h.rampFrom.Load() != 0 }

// eject ejects e for a time, unless that would eject more than half of the endpoints.
func (s *Set) eject(e *Endpoint, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &e.health
	if h.ejectedUntil.Load() > at {
		return
	}
	if !s.mayEject(e) {
		return
	}
	config := s.config.Load()
	duration := config.EjectTime << min(h.ejections, maxDoublings)
	h.ejections++
	h.failures.Store(0)
	h.rampFrom.Store(0)
	h.ejectedUntil.Store(at + int64(min(duration, config.MaxEjectTime)))
}

// maxDoublings keeps the doubled ejection time from overflowing.
const maxDoublings = 10

func (s *Set) mayEject(e *Endpoint) bool {
	ejected, total := 1, 0
	for _, other := range s.snapshot.Load().all {
		if other.Leaving() {
			continue
		}
		total++
		if other != e && other.health.ejectedUntil.Load() != 0 {
			ejected++
		}
	}
	return 2*ejected <= total
}

// restore begins the return of e after a successful trial, or completes it at the end of the ramp.
func (s *Set) restore(e *Endpoint, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &e.health
	if until := h.ejectedUntil.Load(); until != 0 {
		if at < until {
			return // a late response to a request from before the ejection
		}
		h.ejectedUntil.Store(0)
		h.rampFrom.Store(at)
		e.latency.average.set(0)
		return
	}
	if from := h.rampFrom.Load(); from != 0 && at-from >= int64(s.config.Load().ReturnRamp) {
		h.rampFrom.Store(0)
		h.ejections = 0
	}
}

// markLeaving stops new requests to e because e itself reported that it is leaving.
func (s *Set) markLeaving(e *Endpoint, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !e.Leaving()
	e.health.leavingAt.Store(max(at, 1))
	if first {
		s.publish(s.snapshot.Load().all)
	}
}

// setListed applies the state of e in the VM list. The list lags behind the endpoint's own reports, so a live entry ends
// the leaving state only if the list showed e as leaving before, or after Config.LeavingHold.
func (s *Set) setListed(e *Endpoint, leaving bool, at int64) {
	h := &e.health
	if leaving {
		h.listedLeaving = true
		if !e.Leaving() {
			h.leavingAt.Store(max(at, 1))
		}
		return
	}
	held := at-h.leavingAt.Load() >= int64(s.config.Load().LeavingHold)
	if h.listedLeaving || held {
		h.listedLeaving = false
		h.leavingAt.Store(0)
	}
}
