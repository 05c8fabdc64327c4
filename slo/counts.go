// Package slo counts good and bad requests in an entry daemon, merges the counts of many entry VMs, and reports burn
// rates of error budgets.
//
// Counts are grouped in slots of wall time, so that those of different VMs can be added. They are kept in memory only
// and are lost when the daemon ends; a report states how far back they reach.
package slo

import (
	"sync"
	"time"

	"github.com/currantthread/currantthread/verdict"
)

const (
	// fineSlot and fineSlots cover the longest window of burn rates, 6 h.
	fineSlot  = time.Minute
	fineSlots = 361
	// coarseSlot and coarseSlots cover the longest window of an objective, 90 days.
	coarseSlot  = time.Hour
	coarseSlots = 90*24 + 1
	// partSlot and partSlots cover one hour for each failure domain and upstream.
	partSlot  = 5 * time.Minute
	partSlots = 13
	// maxParts bounds the failure domains, and separately the upstreams, that are counted for one service. Requests of
	// all others are counted under otherPart.
	maxParts  = 4096
	otherPart = "(other)"
)

// Objective is the service level objective of a service.
type Objective struct {
	// Latency is the time within which a request counts as good.
	Latency time.Duration `json:"latency_ns"`
	// Permille is the required number of good requests per thousand.
	Permille int `json:"permille"`
	// Window is the time for which the error budget is computed.
	Window time.Duration `json:"window_ns"`
}

// budget returns the fraction of requests that may be slow or bad.
func (o Objective) budget() float64 { return float64(1000-o.Permille) / 1000 }

// Event is one completed request. Requests that were refused because of their input are not recorded.
type Event struct {
	Service string
	// Domain and Upstream are empty if the request reached no upstream.
	Domain, Upstream string
	Verdict          verdict.Verdict
	// Failed is set for a server error.
	Failed  bool
	Latency time.Duration
}

// Counts holds numbers of requests. The sum of Good, Slow and Bad is the total.
type Counts struct {
	// Good requests ran, did not fail and met the latency objective. Slow requests ran and did not fail, but missed it.
	// Bad requests failed, were refused, or may have run.
	Good int64 `json:"good"`
	Slow int64 `json:"slow"`
	Bad  int64 `json:"bad"`
	// Ran, NotRun and MayHaveRun count the same requests by verdict.
	Ran        int64 `json:"ran"`
	NotRun     int64 `json:"not_run"`
	MayHaveRun int64 `json:"may_have_run"`
}

// Total returns the number of requests.
func (c Counts) Total() int64 { return c.Good + c.Slow + c.Bad }

// BadFraction returns the fraction of requests that were not good, or 0 if there were no requests.
func (c Counts) BadFraction() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Slow+c.Bad) / float64(c.Total())
}

func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Slow += o.Slow
	c.Bad += o.Bad
	c.Ran += o.Ran
	c.NotRun += o.NotRun
	c.MayHaveRun += o.MayHaveRun
}

// countsOf returns the counts of a single event.
func countsOf(e Event, o Objective) Counts {
	var c Counts
	switch e.Verdict {
	case verdict.Ran:
		c.Ran = 1
	case verdict.NotRun:
		c.NotRun = 1
	default:
		c.MayHaveRun = 1
	}
	switch {
	case e.Verdict != verdict.Ran || e.Failed:
		c.Bad = 1
	case e.Latency > o.Latency:
		c.Slow = 1
	default:
		c.Good = 1
	}
	return c
}

// ring is a ring buffer with the counts of the most recent slots of wall time.
type ring struct {
	width time.Duration
	slots []Slot
}

// Slot holds the counts of one span of wall time.
type Slot struct {
	// Index is the Unix time at which the slot begins, divided by the width of slots.
	Index  int64  `json:"i"`
	Counts Counts `json:"c"`
}

func newRing(width time.Duration, n int) *ring { return &ring{width: width, slots: make([]Slot, n)} }

func indexOf(at time.Time, width time.Duration) int64 { return at.UnixNano() / int64(width) }

func (r *ring) add(at time.Time, c Counts) {
	index := indexOf(at, r.width)
	slot := &r.slots[index%int64(len(r.slots))]
	if slot.Index > index {
		return // the wall clock was set back by the length of the ring or more
	}
	if slot.Index != index {
		*slot = Slot{Index: index}
	}
	slot.Counts.add(c)
}

// list returns the slots with requests that are within the ring's length, unordered.
func (r *ring) list(now time.Time) []Slot {
	oldest := indexOf(now, r.width) - int64(len(r.slots)) + 1
	var out []Slot
	for _, slot := range r.slots {
		if slot.Index >= oldest && slot.Counts.Total() > 0 {
			out = append(out, slot)
		}
	}
	return out
}

// Recorder counts the requests of one entry VM. It is safe for concurrent use.
type Recorder struct {
	vm    string
	begin time.Time

	mu       sync.Mutex // guards services
	services map[string]*serviceCounts
}

type serviceCounts struct {
	objective         Objective
	fine, coarse      *ring
	domains, upstream map[string]*ring
}

// NewRecorder returns a recorder for the named VM.
func NewRecorder(vm string) *Recorder {
	return &Recorder{vm: vm, begin: time.Now(), services: map[string]*serviceCounts{}}
}

// SetObjective sets the objective of a service. Requests that are already counted are not classified again.
func (r *Recorder) SetObjective(service string, o Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.objective = o
		return
	}
	r.services[service] = &serviceCounts{objective: o, fine: newRing(fineSlot, fineSlots),
		coarse: newRing(coarseSlot, coarseSlots), domains: map[string]*ring{}, upstream: map[string]*ring{}}
}

// Record counts one request. Requests of services without an objective are ignored.
func (r *Recorder) Record(e Event) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[e.Service]
	if s == nil {
		return
	}
	c := countsOf(e, s.objective)
	s.fine.add(now, c)
	s.coarse.add(now, c)
	addPart(s.domains, e.Domain, now, c)
	addPart(s.upstream, e.Upstream, now, c)
}

func addPart(parts map[string]*ring, name string, now time.Time, c Counts) {
	if name == "" {
		return
	}
	if parts[name] == nil && len(parts) >= maxParts {
		dropStale(parts, now)
	}
	if parts[name] == nil && len(parts) >= maxParts {
		name = otherPart
	}
	if parts[name] == nil {
		parts[name] = newRing(partSlot, partSlots)
	}
	parts[name].add(now, c)
}

// dropStale removes the parts without requests during the ring's length, such as upstreams that no longer exist.
func dropStale(parts map[string]*ring, now time.Time) {
	for name, r := range parts {
		if len(r.list(now)) == 0 {
			delete(parts, name)
		}
	}
}

// Export holds the counts of one or more VMs in a form that can be transferred and merged.
type Export struct {
	VMs []string `json:"vms"`
	// Since is the earliest time at which one of the VMs began to count.
	Since    time.Time                `json:"since"`
	Services map[string]ServiceExport `json:"services"`
}

// ServiceExport holds the counts of one service in slots of one minute (Fine), one hour (Coarse) and, for each failure
// domain and upstream, five minutes.
type ServiceExport struct {
	Objective Objective         `json:"objective"`
	Fine      []Slot            `json:"fine"`
	Coarse    []Slot            `json:"coarse"`
	Domains   map[string][]Slot `json:"domains"`
	Upstreams map[string][]Slot `json:"upstreams"`
}

// Export returns all counts.
func (r *Recorder) Export() Export {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Export{VMs: []string{r.vm}, Since: r.begin.UTC(), Services: map[string]ServiceExport{}}
	for name, s := range r.services {
		out.Services[name] = ServiceExport{Objective: s.objective, Fine: s.fine.list(now), Coarse: s.coarse.list(now),
			Domains: listParts(s.domains, now), Upstreams: listParts(s.upstream, now)}
	}
	return out
}

func listParts(parts map[string]*ring, now time.Time) map[string][]Slot {
	out := map[string][]Slot{}
	for name, r := range parts {
		if slots := r.list(now); len(slots) > 0 {
			out[name] = slots
		}
	}
	return out
}

// Merge adds the exports of different VMs. The objective of a service is taken from the first export that contains it.
func Merge(exports ...Export) Export {
	out := Export{Services: map[string]ServiceExport{}}
	for _, e := range exports {
		out.VMs = append(out.VMs, e.VMs...)
		if out.Since.IsZero() || e.Since.Before(out.Since) {
			out.Since = e.Since
		}
		for name, s := range e.Services {
			merged, ok := out.Services[name]
			if !ok {
				merged = ServiceExport{Objective: s.Objective}
			}
			merged.Fine = mergeSlots(merged.Fine, s.Fine)
			merged.Coarse = mergeSlots(merged.Coarse, s.Coarse)
			merged.Domains = mergeParts(merged.Domains, s.Domains)
			merged.Upstreams = mergeParts(merged.Upstreams, s.Upstreams)
			out.Services[name] = merged
		}
	}
	return out
}

func mergeParts(a, b map[string][]Slot) map[string][]Slot {
	out := map[string][]Slot{}
	for name, slots := range a {
		out[name] = slots
	}
	for name, slots := range b {
		out[name] = mergeSlots(out[name], slots)
	}
	return out
}

// mergeSlots returns the sum of a and b, in order of time.
func mergeSlots(a, b []Slot) []Slot {
	sums := map[int64]Counts{}
	for _, list := range [][]Slot{a, b} {
		for _, slot := range list {
			sum := sums[slot.Index]
			sum.add(slot.Counts)
			sums[slot.Index] = sum
		}
	}
	return sortedSlots(sums)
}
