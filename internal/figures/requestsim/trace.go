package requestsim

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/currantthread/currantthread/limit"
)

// traceHeader is the first line of a trace. docs/traces.md describes the format.
var traceHeader = []string{"at_ms", "event", "target", "class", "value"}

// TraceEvent is one line of a trace, a change of load or a fault at a virtual time.
type TraceEvent struct {
	At                   time.Duration
	Event, Target, Value string
	Class                limit.Class
	line                 int
}

var errTraceHeader = errors.New("the first line of a trace must be " + strings.Join(traceHeader, ","))

// ReadTrace reads a trace.
func ReadTrace(in io.Reader) ([]TraceEvent, error) {
	reader := csv.NewReader(in)
	reader.Comment = '#'
	reader.FieldsPerRecord = len(traceHeader)
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("read the trace: %w", err)
	}
	if strings.Join(header, ",") != strings.Join(traceHeader, ",") {
		return nil, errTraceHeader
	}
	var trace []TraceEvent
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read the trace: %w", err)
		}
		line, _ := reader.FieldPos(0)
		event, err := parseTraceEvent(record, line)
		if err != nil {
			return nil, err
		}
		if len(trace) > 0 && event.At < trace[len(trace)-1].At {
			return nil, fmt.Errorf("line %d: is earlier than the preceding event", line)
		}
		trace = append(trace, event)
	}
}

func parseTraceEvent(record []string, line int) (TraceEvent, error) {
	millis, err := strconv.ParseInt(record[0], 10, 64)
	if err != nil || millis < 0 {
		return TraceEvent{}, fmt.Errorf("line %d: at_ms: %q is not a whole number of milliseconds", line, record[0])
	}
	event := TraceEvent{At: time.Duration(millis) * time.Millisecond, Event: record[1], Target: record[2],
		Value: record[4], line: line}
	switch record[3] {
	case "", limit.LatencyCritical.String():
	case limit.Batch.String():
		event.Class = limit.Batch
	default:
		return TraceEvent{}, fmt.Errorf("line %d: class: %q is not one of latency-critical, batch", line, record[3])
	}
	return event, nil
}

// Play schedules the events of a trace. It returns an error if an event is invalid for this simulation.
func (sim *Simulation) Play(trace []TraceEvent) error {
	for _, event := range trace {
		apply, err := sim.compileEvent(event)
		if err != nil {
			return fmt.Errorf("line %d: %w", event.line, err)
		}
		sim.At(event.At, apply)
	}
	return nil
}

func (sim *Simulation) compileEvent(event TraceEvent) (func(), error) {
	switch event.Event {
	case "rate":
		return sim.rateFunc(event)
	case "burst":
		return sim.burstFunc(event)
	case "slow":
		return sim.slowFunc(event)
	case "mode":
		return sim.modeFunc(event)
	case "cut":
		return sim.cutFunc(event)
	default:
		return nil, fmt.Errorf("event %q is not one of rate, burst, slow, mode, cut", event.Event)
	}
}

func (sim *Simulation) rateFunc(event TraceEvent) (func(), error) {
	entries, err := sim.entriesInDomain(event.Target)
	if err != nil {
		return nil, err
	}
	rate, err := strconv.ParseFloat(event.Value, 64)
	if err != nil || rate < 0 {
		return nil, fmt.Errorf("value: %q is not a valid rate", event.Value)
	}
	return func() {
		for _, entry := range entries {
			sim.setRate(entry, event.Class, rate)
		}
	}, nil
}

func (sim *Simulation) burstFunc(event TraceEvent) (func(), error) {
	entries, err := sim.entriesInDomain(event.Target)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(event.Value)
	if err != nil || n < 0 {
		return nil, fmt.Errorf("value: %q is not a valid number of requests", event.Value)
	}
	return func() {
		for _, entry := range entries {
			for range n {
				sim.Arrive(entry, event.Class, 0)
			}
		}
	}, nil
}

func (sim *Simulation) slowFunc(event TraceEvent) (func(), error) {
	runner := sim.byID[event.Target]
	if runner == nil {
		return nil, fmt.Errorf("target: there is no runner %q", event.Target)
	}
	factor, err := strconv.ParseFloat(event.Value, 64)
	if err != nil || factor <= 0 {
		return nil, fmt.Errorf("value: %q is not a factor above 0", event.Value)
	}
	return func() { runner.Slowdown = factor }, nil
}

var modeNames = map[string]Mode{"ok": ModeOK, "dead": ModeDead, "failing": ModeFailing, "silent": ModeSilent,
	"leaving": ModeLeaving}

func (sim *Simulation) modeFunc(event TraceEvent) (func(), error) {
	mode, ok := modeNames[event.Value]
	if !ok {
		return nil, fmt.Errorf("value: %q is not one of ok, dead, failing, silent, leaving", event.Value)
	}
	var runners []*Runner
	for _, r := range sim.Runners {
		if r.VM.ID == event.Target || r.VM.Domain == event.Target {
			runners = append(runners, r)
		}
	}
	if len(runners) == 0 {
		return nil, fmt.Errorf("target: there is no runner or failure domain %q", event.Target)
	}
	return func() {
		for _, r := range runners {
			sim.SetMode(r, mode)
		}
	}, nil
}

func (sim *Simulation) cutFunc(event TraceEvent) (func(), error) {
	a, b, ok := strings.Cut(event.Target, "/")
	if !ok || !sim.hasRegion(a) || !sim.hasRegion(b) {
		return nil, fmt.Errorf("target: %q does not name two regions", event.Target)
	}
	if event.Value != "on" && event.Value != "off" {
		return nil, fmt.Errorf("value: %q is not one of on, off", event.Value)
	}
	return func() { sim.SetCut(a, b, event.Value == "on") }, nil
}

func (sim *Simulation) hasRegion(region string) bool {
	for _, domain := range sim.Config.Domains {
		if domain.Region == region {
			return true
		}
	}
	return false
}

func (sim *Simulation) entriesInDomain(domain string) ([]int, error) {
	var entries []int
	for i, e := range sim.Entries {
		if e.Domain == domain {
			entries = append(entries, i)
		}
	}
	if len(entries) == 0 {
		return nil, fmt.Errorf("target: there is no failure domain %q with entry VMs", domain)
	}
	return entries, nil
}
