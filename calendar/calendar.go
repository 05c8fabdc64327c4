// Package calendar computes when schedules are due in civil time. The zone rules come from the settings and not from
// the time zone database of the machine, because a country may change its clocks at a few weeks' notice.
//
// A run is identified by its schedule and its civil date and time. It is due at the first instant at which the civil
// clock shows that time or a later one: for a time in a gap, the first instant after the gap; for a time in an overlap,
// the first of the two instants. This instant never decreases from one civil date to the next, so the last civil date
// that was run is the only state that a schedule needs. Each later date is due exactly once, even if the zone rules
// change in between.
package calendar

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/settings"
)

// Date is a civil date, counted in days since 1970-01-01.
type Date int64

const (
	day        = 24 * time.Hour
	dateLayout = "2006-01-02"
	timeLayout = "15:04"
	runLayout  = dateLayout + "T" + timeLayout
	// maxOffset bounds offsets from UTC. The largest offset in use is 14 hours.
	maxOffset = 24 * time.Hour
)

// DateOf returns the civil date of t's wall clock.
func DateOf(t time.Time) Date {
	midnight := time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
	return Date(midnight.Unix() / int64(day/time.Second))
}

// midnight returns the start of d as civil time, represented in UTC.
func (d Date) midnight() time.Time { return time.Unix(int64(d)*int64(day/time.Second), 0).UTC() }

// Weekday returns the day of the week of d.
func (d Date) Weekday() time.Weekday { return d.midnight().Weekday() }

// String formats d as 2006-01-02.
func (d Date) String() string { return d.midnight().Format(dateLayout) }

// Zone is a named sequence of offsets from UTC.
type Zone struct {
	name        string
	transitions []transition
}

// transition is an offset and the instant from which it applies. The first transition has no instant: it applies to all
// earlier times.
type transition struct {
	from   time.Time
	offset time.Duration
}

// ParseZones parses the zone rules of the settings. It returns one error for each invalid zone; the error names the
// zone and the entry.
func ParseZones(table settings.Zone) (map[string]Zone, []error) {
	zones := map[string]Zone{}
	var errs []error
	names := make([]string, 0, len(table.Offsets))
	for name := range table.Offsets {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		zone, err := parseZone(name, table.Offsets[name])
		if err != nil {
			errs = append(errs, err)
			continue
		}
		zones[name] = zone
	}
	return zones, errs
}

func parseZone(name string, offsets []settings.ZoneOffset) (Zone, error) {
	zone := Zone{name: name}
	for i, o := range offsets {
		c, err := parseTransition(o, i == 0)
		if err != nil {
			return Zone{}, fmt.Errorf("zone.offsets.%s entry %d: %w", name, i+1, err)
		}
		if i > 1 && !c.from.After(zone.transitions[i-1].from) {
			return Zone{}, fmt.Errorf("zone.offsets.%s entry %d: from must be later than in entry %d", name, i+1, i)
		}
		zone.transitions = append(zone.transitions, c)
	}
	if len(zone.transitions) == 0 {
		return Zone{}, fmt.Errorf("zone.offsets.%s: must have at least one entry", name)
	}
	return zone, nil
}

func parseTransition(o settings.ZoneOffset, first bool) (transition, error) {
	at, err := time.Parse("-07:00", o.Offset)
	if err != nil {
		return transition{}, fmt.Errorf("offset %q is not of the form -05:00 or +01:00", o.Offset)
	}
	_, seconds := at.Zone()
	c := transition{offset: time.Duration(seconds) * time.Second}
	if c.offset.Abs() > maxOffset {
		return transition{}, fmt.Errorf("offset %q is outside -24:00 to +24:00", o.Offset)
	}
	switch {
	case first && o.From == "":
		return c, nil
	case first:
		return transition{}, fmt.Errorf("from must be empty, so that the offset applies to all earlier times")
	}
	c.from, err = time.Parse(time.RFC3339, o.From)
	if err != nil {
		return transition{}, fmt.Errorf("from %q is not an instant such as 2026-10-25T01:00:00Z", o.From)
	}
	c.from = c.from.UTC()
	return c, nil
}

// Civil returns the civil time at t, represented in UTC.
func (z Zone) Civil(t time.Time) time.Time {
	offset := z.transitions[0].offset
	for _, c := range z.transitions[1:] {
		if t.Before(c.from) {
			break
		}
		offset = c.offset
	}
	return t.UTC().Add(offset)
}

// Instant returns the first instant at which the civil clock shows civil or a later time. civil is represented in UTC.
func (z Zone) Instant(civil time.Time) time.Time {
	for i, c := range z.transitions {
		at := civil.Add(-c.offset)
		if i > 0 && at.Before(c.from) {
			// civil lies in a gap: the clock is already past it when the offset takes effect.
			return c.from
		}
		if i+1 == len(z.transitions) || at.Before(z.transitions[i+1].from) {
			return at
		}
	}
	return civil
}

// Schedule is a civil time of day on some or all days of the week.
type Schedule struct {
	Name string
	// Zone is the name of the zone whose rules apply.
	Zone string
	// At is the civil time of day, as the duration since midnight on the civil clock.
	At time.Duration
	// days is true for the weekdays on which the schedule runs, indexed by time.Weekday.
	days [7]bool
}

var weekdayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// ParseSchedule parses a schedule of the settings.
func ParseSchedule(name string, s settings.Schedule) (Schedule, error) {
	at, err := time.Parse(timeLayout, s.At)
	if err != nil {
		return Schedule{}, fmt.Errorf("schedule.%s.at: %q is not a time of day such as 02:00", name, s.At)
	}
	out := Schedule{
		Name: name, Zone: s.Zone,
		At: time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute,
	}
	for _, d := range s.Days {
		i := slices.Index(weekdayNames, d)
		if i < 0 {
			return Schedule{}, fmt.Errorf("schedule.%s.days: %q is none of %s", name, d, strings.Join(weekdayNames, ", "))
		}
		out.days[i] = true
	}
	if len(s.Days) == 0 {
		out.days = [7]bool{true, true, true, true, true, true, true}
	}
	return out, nil
}

// Run is one due execution of a schedule.
type Run struct {
	Schedule string
	Date     Date
	// At is the instant at which the run is due by the zone rules that it was computed with.
	At time.Time
	// timeOfDay is the duration since midnight on the civil clock.
	timeOfDay time.Duration
}

// ID returns the civil date and time, such as 2026-03-29T02:30. Together with the schedule's name it identifies the
// run.
func (r Run) ID() string { return r.Date.midnight().Add(r.timeOfDay).Format(runLayout) }

// ParseRunDate returns the civil date of a run's ID.
func ParseRunDate(id string) (Date, error) {
	t, err := time.Parse(runLayout, id)
	if err != nil {
		return 0, fmt.Errorf("%q is not the ID of a run, such as 2026-03-29T02:30", id)
	}
	return DateOf(t), nil
}

// StartDate returns the date to use as the last run date of a schedule that is created at now, so that its first run is
// the first one due after now.
func (s Schedule) StartDate(z Zone, now time.Time) Date {
	d := DateOf(z.Civil(now)) + 1
	for s.dueAt(z, d).After(now) {
		d--
	}
	return d
}

// Next returns the first run after the civil date last, which may not be due yet.
func (s Schedule) Next(z Zone, last Date) Run {
	d := last + 1
	for !s.days[d.Weekday()] {
		d++
	}
	return Run{Schedule: s.Name, Date: d, At: s.dueAt(z, d), timeOfDay: s.At}
}

// Due returns at most limit runs that are due at now and were not run, oldest first. last is the date of the latest
// run, or the result of StartDate if there was none. A date counts as run regardless of the time of day, so that a
// change of At later on that day does not repeat the run.
func (s Schedule) Due(z Zone, last Date, now time.Time, limit int) []Run {
	var runs []Run
	for len(runs) < limit {
		run := s.Next(z, last)
		if run.At.After(now) {
			break
		}
		runs = append(runs, run)
		last = run.Date
	}
	return runs
}

// dueAt returns the instant at which the run of date d is due.
func (s Schedule) dueAt(z Zone, d Date) time.Time { return z.Instant(d.midnight().Add(s.At)) }
