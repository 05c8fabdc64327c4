package calendar

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/settings"
)

func mustZone(t *testing.T, offsets ...settings.ZoneOffset) Zone {
	t.Helper()
	zones, errs := ParseZones(settings.Zone{Offsets: map[string][]settings.ZoneOffset{"local": offsets}})
	assert.Equal(t, len(errs), 0, "%v", errs)
	return zones["local"]
}

func parseCivil(t *testing.T, text string) time.Time {
	t.Helper()
	c, err := time.Parse("2006-01-02T15:04", text)
	assert.NilError(t, err)
	return c
}

// A civil time in a gap must be due after the gap, and one in an overlap at the first of its two instants. A wrong
// offset would lose, repeat or shift runs.
func TestInstant(t *testing.T) {
	spring := settings.ZoneOffset{From: "2026-03-29T01:00:00Z", Offset: "+02:00"}
	autumn := settings.ZoneOffset{From: "2026-10-25T01:00:00Z", Offset: "+01:00"}
	poland := mustZone(t, settings.ZoneOffset{Offset: "+01:00"}, spring, autumn)
	skippedDay := mustZone(t, settings.ZoneOffset{Offset: "-10:00"}, settings.ZoneOffset{From: "2011-12-30T10:00:00Z", Offset: "+14:00"})
	for _, c := range []struct {
		name, civil, want string
		zone              Zone
	}{
		{"before the gap", "2026-03-29T01:59", "2026-03-29T00:59:00Z", poland},
		{"start of the gap", "2026-03-29T02:00", "2026-03-29T01:00:00Z", poland},
		{"in the gap", "2026-03-29T02:30", "2026-03-29T01:00:00Z", poland},
		{"after the gap", "2026-03-29T03:00", "2026-03-29T01:00:00Z", poland},
		{"first of the overlap", "2026-10-25T02:30", "2026-10-25T00:30:00Z", poland},
		{"after the overlap", "2026-10-25T03:00", "2026-10-25T02:00:00Z", poland},
		{"civil date that does not exist", "2011-12-30T12:00", "2011-12-30T10:00:00Z", skippedDay},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.zone.Instant(parseCivil(t, c.civil)).Format(time.RFC3339), c.want)
		})
	}
}

// Invalid zone rules and schedules must be rejected.
func TestParseRejectsInvalidRules(t *testing.T) {
	first := settings.ZoneOffset{Offset: "-05:00"}
	for name, offsets := range map[string][]settings.ZoneOffset{
		"no entry":        {},
		"bad offset":      {{Offset: "5h"}},
		"first with from": {{From: "2026-01-01T00:00:00Z", Offset: "-05:00"}},
		"bad from":        {first, {From: "soon", Offset: "-04:00"}},
		"out of order":    {first, {From: "2026-03-01T00:00:00Z", Offset: "-04:00"}, {From: "2026-02-01T00:00:00Z", Offset: "-05:00"}},
	} {
		_, errs := ParseZones(settings.Zone{Offsets: map[string][]settings.ZoneOffset{"local": offsets}})
		assert.Equal(t, len(errs), 1, name)
	}
	_, err := ParseSchedule("s", settings.Schedule{At: "25:00"})
	assert.ErrorContains(t, err, "not a time of day")
	_, err = ParseSchedule("s", settings.Schedule{At: "02:00", Days: []string{"someday"}})
	assert.ErrorContains(t, err, "none of")
}

var timeStep = 15 * time.Minute

func drawZone(t *rapid.T, around time.Time) Zone {
	z := Zone{name: "local", transitions: []transition{{offset: drawOffset(t)}}}
	steps := rapid.SliceOfNDistinct(rapid.IntRange(-1000, 3000), 0, 4, rapid.ID).Draw(t, "changes")
	slices.Sort(steps)
	for _, n := range steps {
		z.transitions = append(z.transitions, transition{around.Add(time.Duration(n) * timeStep), drawOffset(t)})
	}
	return z
}

func drawOffset(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-14*4, 14*4).Draw(t, "offset")) * timeStep
}

// Instant must agree with a search for the first instant at which the civil clock shows the time or a later one.
func TestInstantIsFirst(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		z := drawZone(t, start)
		wanted := start.Add(time.Duration(rapid.IntRange(-500, 2000).Draw(t, "civil")) * timeStep)
		first := start.Add(-2000 * timeStep)
		for z.Civil(first).Before(wanted) {
			first = first.Add(timeStep)
		}
		if got := z.Instant(wanted); !got.Equal(first) {
			t.Fatalf("civil %v is due at %v, expected %v", wanted, got, first)
		}
	})
}

// Each civil date must run exactly once, for any sequence of rule changes and restarts.
func TestEachCivilDateRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
		zone := drawZone(t, now)
		s := Schedule{
			Name: "reconcile", At: time.Duration(rapid.IntRange(0, 95).Draw(t, "at")) * timeStep,
			days: [7]bool{true, rapid.Bool().Draw(t, "monday"), true, true, true, true, rapid.Bool().Draw(t, "saturday")},
		}
		start := s.StartDate(zone, now)
		// rows holds the IDs of submitted runs, like the stored table. It is the only state that survives a restart.
		rows := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "time")) * timeStep)
			case 1:
				zone = drawZone(t, now)
			case 2:
				for _, run := range s.Due(zone, lastRun(t, rows, start), now, rapid.IntRange(1, 10).Draw(t, "limit")) {
					if rows[run.ID()] {
						t.Fatalf("run %s is repeated", run.ID())
					}
					if z := zone.Civil(run.At); z.Before(run.Date.midnight().Add(s.At)) {
						t.Fatalf("run %s is due when the clock shows %v", run.ID(), z)
					}
					rows[run.ID()] = true
				}
			}
		}
		for _, run := range s.Due(zone, lastRun(t, rows, start), now, 10_000) {
			rows[run.ID()] = true
		}
		checkDates(t, s, zone, rows, start, now)
	})
}

func lastRun(t *rapid.T, rows map[string]bool, start Date) Date {
	last := start
	for id := range rows {
		d, err := ParseRunDate(id)
		if err != nil {
			t.Fatal(err)
		}
		last = max(last, d)
	}
	return last
}

// checkDates compares the runs with an enumeration of the civil dates.
func checkDates(t *rapid.T, s Schedule, z Zone, rows map[string]bool, start Date, now time.Time) {
	last := lastRun(t, rows, start)
	expected := 0
	for d := start + 1; d <= last || !s.dueAt(z, d).After(now); d++ {
		if !s.days[d.Weekday()] {
			continue
		}
		expected++
		if id := d.midnight().Add(s.At).Format(runLayout); !rows[id] {
			t.Fatalf("run %s was skipped", id)
		}
	}
	if expected != len(rows) {
		t.Fatalf("%d runs, expected %d", len(rows), expected)
	}
}
