// Package calendar computes when schedules are due in civil time. The rules of civil time are data from the settings,
// not the time zone database of the machine, because a country may change its clocks with weeks of notice.
//
// A run is identified by its schedule and its civil date and time. It is due at the first instant at which the civil
// clock shows that time or a later one. For a time in a gap that is the first instant after the gap; for a time in an
// overlap it is the first of the two instants. Because this instant never decreases from one civil date to the next,
// the last civil date that was run is all the state a schedule needs: whatever rules replace the present ones, and
// whenever, each later date is due exactly once.
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
	// maxOffset bounds offsets from UTC; the largest in use are 14 hours.
	maxOffset = 24 * time.Hour
)

// DateOf returns the civil date of t's wall clock.
func DateOf(t time.Time) Date {
	midnight := time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
	return Date(midnight.Unix() / int64(day/time.Second))
}

// clock returns d's midnight as if the civil clock showed UTC.
func (d Date) clock() time.Time { return time.Unix(int64(d)*int64(day/time.Second), 0).UTC() }

// Weekday returns the day of the week.
func (d Date) Weekday() time.Weekday { return d.clock().Weekday() }

// String returns the form 2006-01-02.
func (d Date) String() string { return d.clock().Format(dateLayout) }

// Zone is a history of offsets from UTC.
type Zone struct {
	name    string
	changes []change
}

// change is an offset and the instant from which it applies; the first change applies from always.
type change struct {
	from   time.Time
	offset time.Duration
}

// ParseZones reads the zone rules of the settings. It returns every fault with the zone and entry it is in.
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
		c, err := parseChange(o, i == 0)
		if err != nil {
			return Zone{}, fmt.Errorf("zone.offsets.%s entry %d: %w", name, i+1, err)
		}
		if i > 1 && !c.from.After(zone.changes[i-1].from) {
			return Zone{}, fmt.Errorf("zone.offsets.%s entry %d: from must be later than in entry %d", name, i+1, i)
		}
		zone.changes = append(zone.changes, c)
	}
	if len(zone.changes) == 0 {
		return Zone{}, fmt.Errorf("zone.offsets.%s: must have at least one entry", name)
	}
	return zone, nil
}

func parseChange(o settings.ZoneOffset, first bool) (change, error) {
	at, err := time.Parse("-07:00", o.Offset)
	if err != nil {
		return change{}, fmt.Errorf("offset %q is not of the form -05:00 or +01:00", o.Offset)
	}
	_, seconds := at.Zone()
	c := change{offset: time.Duration(seconds) * time.Second}
	if c.offset.Abs() > maxOffset {
		return change{}, fmt.Errorf("offset %q is outside -24:00 to +24:00", o.Offset)
	}
	switch {
	case first && o.From == "":
		return c, nil
	case first:
		return change{}, fmt.Errorf("from must be empty, so that the offset applies to all earlier times")
	}
	c.from, err = time.Parse(time.RFC3339, o.From)
	if err != nil {
		return change{}, fmt.Errorf("from %q is not an instant such as 2026-10-25T01:00:00Z", o.From)
	}
	c.from = c.from.UTC()
	return c, nil
}

// Civil returns what the civil clock shows at t, as a time in UTC.
func (z Zone) Civil(t time.Time) time.Time {
	offset := z.changes[0].offset
	for _, c := range z.changes[1:] {
		if t.Before(c.from) {
			break
		}
		offset = c.offset
	}
	return t.UTC().Add(offset)
}

// Instant returns the first instant at which the civil clock shows civil or a later time. civil is given in UTC.
func (z Zone) Instant(civil time.Time) time.Time {
	for i, c := range z.changes {
		at := civil.Add(-c.offset)
		if i > 0 && at.Before(c.from) {
			// The clock is already past civil when the offset takes effect: a gap.
			return c.from
		}
		if i+1 == len(z.changes) || at.Before(z.changes[i+1].from) {
			return at
		}
	}
	return civil
}

// Schedule is a daily or weekly civil time.
type Schedule struct {
	Name string
	// Zone names the rules of civil time.
	Zone string
	// At is the civil time of day, from midnight on the clock.
	At time.Duration
	// days is true for the days of the week on which the schedule runs.
	days [7]bool
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// ParseSchedule reads a schedule of the settings.
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
		i := slices.Index(weekdays, d)
		if i < 0 {
			return Schedule{}, fmt.Errorf("schedule.%s.days: %q is none of %s", name, d, strings.Join(weekdays, ", "))
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
	// At is the instant at which the run is due by the rules that it was computed with.
	At time.Time
	of time.Duration
}

// ID returns the civil date and time, such as 2026-03-29T02:30. With the schedule's name it identifies the run.
func (r Run) ID() string { return r.Date.clock().Add(r.of).Format(runLayout) }

// DateOfRun returns the civil date of a run's ID.
func DateOfRun(id string) (Date, error) {
	t, err := time.Parse(runLayout, id)
	if err != nil {
		return 0, fmt.Errorf("%q is not the ID of a run, such as 2026-03-29T02:30", id)
	}
	return DateOf(t), nil
}

// Start returns the date from which a schedule that is new at now counts as run: its first run is the first one due
// after now.
func (s Schedule) Start(z Zone, now time.Time) Date {
	d := DateOf(z.Civil(now)) + 1
	for s.instant(z, d).After(now) {
		d--
	}
	return d
}

// Next returns the first run after the civil date last, whether it is due or not.
func (s Schedule) Next(z Zone, last Date) Run {
	d := last + 1
	for !s.days[d.Weekday()] {
		d++
	}
	return Run{Schedule: s.Name, Date: d, At: s.instant(z, d), of: s.At}
}

// Due returns at most limit runs that are due at now and were not run, oldest first. last is the date of the latest
// run, or Start if there was none. A date counts as run whatever its time of day was, so a change of At on a day after
// its run does not repeat it.
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

func (s Schedule) instant(z Zone, d Date) time.Time { return z.Instant(d.clock().Add(s.At)) }
