package slo

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Window is a pair of windows whose burn rates must both exceed a threshold for an alert: the long window shows that
// the burn is significant, the short window that it is still going on.
type Window struct {
	Name        string
	Short, Long time.Duration
	Threshold   float64
}

// Windows are the pairs of the report. A burn rate of 14.4 uses 2% of a 30-day budget in 1 h, one of 6 uses 5% in 6 h.
var Windows = []Window{
	{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
	{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
}

// maxWorstParts bounds the failure domains, and the upstreams, that a report lists.
const maxWorstParts = 5

// Report is the burn report of all services.
type Report struct {
	At time.Time `json:"at"`
	// VMs are the VMs whose counts are in the report; Unreachable are those that did not respond.
	VMs         []string        `json:"vms"`
	Unreachable []string        `json:"unreachable"`
	Services    []ServiceReport `json:"services"`
}

// ServiceReport is the burn report of one service.
type ServiceReport struct {
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	Burns     []Burn    `json:"burns"`
	// Counts are the counts of the objective's window, as far back as they exist.
	Counts Counts `json:"counts"`
	// Covered is the part of the objective's window for which counts exist.
	Covered time.Duration `json:"covered_ns"`
	// BudgetLeft is the remaining fraction of the error budget of the covered requests. It is negative if the budget is
	// exceeded.
	BudgetLeft     float64     `json:"budget_left"`
	WorstDomains   []Part      `json:"worst_domains"`
	WorstUpstreams []Part      `json:"worst_upstreams"`
	History        []BurnPoint `json:"history"`
}

// Burn is the state of one pair of windows. Short and Long are burn rates.
type Burn struct {
	Name      string  `json:"name"`
	Short     float64 `json:"short"`
	Long      float64 `json:"long"`
	Threshold float64 `json:"threshold"`
	Alert     bool    `json:"alert"`
}

// Part is a failure domain or upstream with its requests of the last hour.
type Part struct {
	Name        string  `json:"name"`
	Counts      Counts  `json:"counts"`
	BadFraction float64 `json:"bad_part"`
}

// BurnPoint is the burn rate of one minute.
type BurnPoint struct {
	At       time.Time `json:"at"`
	Burn     float64   `json:"burn"`
	Requests int64     `json:"requests"`
}

// NewReport computes the report from merged counts. unreachable lists the VMs whose counts are missing.
func NewReport(now time.Time, merged Export, unreachable []string) Report {
	r := Report{At: now.UTC(), VMs: slices.Sorted(slices.Values(merged.VMs)),
		Unreachable: slices.Sorted(slices.Values(unreachable))}
	for _, name := range slices.Sorted(maps.Keys(merged.Services)) {
		r.Services = append(r.Services, serviceReport(now, name, merged.Services[name], merged.Since))
	}
	return r
}

func serviceReport(now time.Time, name string, s ServiceExport, since time.Time) ServiceReport {
	out := ServiceReport{Service: name, Objective: s.Objective, Covered: min(max(now.Sub(since), 0), s.Objective.Window)}
	for _, w := range Windows {
		out.Burns = append(out.Burns, burn(now, s, w))
	}
	out.Counts = sumSlots(now, s.Coarse, coarseSlot, s.Objective.Window)
	out.BudgetLeft = 1 - out.Counts.BadFraction()/s.Objective.budget()
	out.WorstDomains = worst(now, s.Domains)
	out.WorstUpstreams = worst(now, s.Upstreams)
	out.History = history(s)
	return out
}

func burn(now time.Time, s ServiceExport, w Window) Burn {
	rate := func(span time.Duration) float64 {
		return sumSlots(now, s.Fine, fineSlot, span).BadFraction() / s.Objective.budget()
	}
	b := Burn{Name: w.Name, Short: rate(w.Short), Long: rate(w.Long), Threshold: w.Threshold}
	b.Alert = b.Short > w.Threshold && b.Long > w.Threshold
	return b
}

// sumSlots adds the slots that begin within span before now, including the current slot.
func sumSlots(now time.Time, slots []Slot, width, span time.Duration) Counts {
	oldest := indexOf(now.Add(-span), width) + 1
	newest := indexOf(now, width)
	var sum Counts
	for _, slot := range slots {
		if slot.Index >= oldest && slot.Index <= newest {
			sum.add(slot.Counts)
		}
	}
	return sum
}

// worst returns the parts with the most requests that were not good. Among equal numbers, the larger fraction comes
// first.
func worst(now time.Time, parts map[string][]Slot) []Part {
	var out []Part
	for name, slots := range parts {
		c := sumSlots(now, slots, partSlot, time.Hour)
		if c.Slow+c.Bad > 0 {
			out = append(out, Part{Name: name, Counts: c, BadFraction: c.BadFraction()})
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(b.Counts.Slow+b.Counts.Bad, a.Counts.Slow+a.Counts.Bad),
			cmp.Compare(b.BadFraction, a.BadFraction), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxWorstParts)]
}

func history(s ServiceExport) []BurnPoint {
	var out []BurnPoint
	for _, slot := range mergeSlots(s.Fine, nil) {
		out = append(out, BurnPoint{At: time.Unix(0, slot.Index*int64(fineSlot)).UTC(),
			Burn: slot.Counts.BadFraction() / s.Objective.budget(), Requests: slot.Counts.Total()})
	}
	return out
}

func sortedSlots(sums map[int64]Counts) []Slot {
	out := make([]Slot, 0, len(sums))
	for _, index := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, Slot{Index: index, Counts: sums[index]})
	}
	return out
}
