package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// takeoverMargin is the minimum by which a worker's lease must exceed the cell's lease, so that tasks keep running during
// a takeover.
const takeoverMargin = Duration(2 * time.Second)

// weekdays lists the words allowed in a schedule's days. The index is the time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// checkLevels runs the checks that involve several keys on every level with its inherited values.
func (t *Tree) checkLevels() []Problem {
	var problems []Problem
	seen := map[string]bool{}
	for _, level := range t.Levels() {
		effective := t.Resolve(level)
		for _, found := range effective.check() {
			// Report an invalid value once, at the highest level that has it, and not at each level that inherits it.
			if id := found.Key + found.Message; !seen[id] {
				seen[id] = true
				found.File = levelFile(level)
				found.Line = t.lineOf(level, found.Key)
				problems = append(problems, found)
			}
		}
	}
	return problems
}

func (t *Tree) lineOf(level, key string) int {
	return t.leaves[level][key].line
}

// check returns the problems of values that depend on each other, without file and line.
func (e Effective) check() []Problem {
	var problems []Problem
	fail := func(key, format string, args ...any) {
		problems = append(problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if e.Sched.WorkerLease < e.Sched.CellLease+takeoverMargin {
		fail("sched.worker_lease", "%v is below cell_lease + %v = %v", e.Sched.WorkerLease, takeoverMargin, e.Sched.CellLease+takeoverMargin)
	}
	for _, name := range slices.Sorted(maps.Keys(e.Services)) {
		if s := e.Services[name]; s.Timeout > s.MaxTimeout {
			fail("service."+name+".timeout", "%v is above max_timeout = %v", s.Timeout, s.MaxTimeout)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.Schedules)) {
		e.checkSchedule("schedule."+name, e.Schedules[name], fail)
	}
	for _, name := range slices.Sorted(maps.Keys(e.Zone.Offsets)) {
		checkOffsets("zone.offsets."+name, e.Zone.Offsets[name], fail)
	}
	return problems
}

func (e Effective) checkSchedule(key string, s Schedule, fail func(key, format string, args ...any)) {
	if _, ok := e.Zone.Offsets[s.Zone]; !ok {
		fail(key+".zone", "%q is not in zone.offsets", s.Zone)
	}
	if _, err := time.Parse("15:04", s.At); err != nil {
		fail(key+".at", "%q is no time of day; write HH:MM", s.At)
	}
	for _, day := range s.Days {
		if !slices.Contains(weekdays, day) {
			fail(key+".days", "%q is none of mon, tue, wed, thu, fri, sat, sun", day)
		}
	}
	if s.Job == "" {
		fail(key+".job", "is missing")
	}
	if s.Team == "" {
		fail(key+".team", "is missing")
	} else if _, ok := e.Teams[s.Team]; !ok {
		fail(key+".team", "%q is not in the team table", s.Team)
	}
}

func checkOffsets(key string, offsets []ZoneOffset, fail func(key, format string, args ...any)) {
	var last time.Time
	for i, o := range offsets {
		if _, err := time.Parse("-07:00", o.Offset); err != nil {
			fail(key, "offset %q is not written like -05:00", o.Offset)
		}
		if i == 0 && o.From == "" {
			continue
		}
		from, err := time.Parse(time.RFC3339, o.From)
		switch {
		case err != nil:
			fail(key, "from %q is no RFC 3339 instant", o.From)
		case i > 0 && !from.After(last):
			fail(key, "from %q is not after the entry before it", o.From)
		}
		last = from
	}
	if len(offsets) == 0 || offsets[0].From != "" {
		fail(key, "the first entry must have no from")
	}
}
