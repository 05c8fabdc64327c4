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

func civil(t *testing.T, text string) time.Time {
	t.Helper()
	c, err := time.Parse("2006-01-02T15:04", text)
	assert.NilError(t, err)
	return c
}

// Guards against runs that are lost in a gap, run twice in an overlap, or run an hour off after a change of rules.
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
			assert.Equal(t, c.zone.Instant(civil(t, c.civil)).Format(time.RFC3339), c.want)
		})
	}
}

// Guards against rules that are accepted although they have no meaning.
func TestParseRefuses(t *testing.T) {
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

var grid = 15 * time.Minute

func drawZone(t *rapid.T, around time.Time) Zone {
	z := Zone{name: "local", changes: []change{{offset: drawOffset(t)}}}
	steps := rapid.SliceOfNDistinct(rapid.IntRange(-1000, 3000), 0, 4, rapid.ID).Draw(t, "changes")
	slices.Sort(steps)
	for _, n := range steps {
		z.changes = append(z.changes, change{around.Add(time.Duration(n) * grid), drawOffset(t)})
	}
	return z
}

func drawOffset(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-14*4, 14*4).Draw(t, "offset")) * grid
}

// Guards against an instant that is not the first one at which the civil clock shows the time or a later one.
func TestInstantIsFirst(t *testing.T) {
	start := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		z := drawZone(t, start)
		wanted := start.Add(time.Duration(rapid.IntRange(-500, 2000).Draw(t, "civil")) * grid)
		first := start.Add(-2000 * grid)
		for z.Civil(first).Before(wanted) {
			first = first.Add(grid)
		}
		if got := z.Instant(wanted); !got.Equal(first) {
			t.Fatalf("civil %v is due at %v, expected %v", wanted, got, first)
		}
	})
}

// Guards against a civil date whose run is repeated or skipped, in any sequence of changed rules and restarts.
func TestEachCivilDateRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
		zone := drawZone(t, now)
		s := Schedule{
			Name: "reconcile", At: time.Duration(rapid.IntRange(0, 95).Draw(t, "at")) * grid,
			days: [7]bool{true, rapid.Bool().Draw(t, "monday"), true, true, true, true, rapid.Bool().Draw(t, "saturday")},
		}
		start := s.Start(zone, now)
		// rows is the table: the IDs of runs that were submitted. It is all that survives a restart.
		rows := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "time")) * grid)
			case 1:
				zone = drawZone(t, now)
			case 2:
				for _, run := range s.Due(zone, lastRun(t, rows, start), now, rapid.IntRange(1, 10).Draw(t, "limit")) {
					if rows[run.ID()] {
						t.Fatalf("run %s is repeated", run.ID())
					}
					if z := zone.Civil(run.At); z.Before(run.Date.clock().Add(s.At)) {
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
		d, err := DateOfRun(id)
		if err != nil {
			t.Fatal(err)
		}
		last = max(last, d)
	}
	return last
}

// checkDates compares the runs with a walk over the civil dates.
func checkDates(t *rapid.T, s Schedule, z Zone, rows map[string]bool, start Date, now time.Time) {
	last := lastRun(t, rows, start)
	expected := 0
	for d := start + 1; d <= last || !s.instant(z, d).After(now); d++ {
		if !s.days[d.Weekday()] {
			continue
		}
		expected++
		if id := d.clock().Add(s.At).Format(runLayout); !rows[id] {
			t.Fatalf("run %s was skipped", id)
		}
	}
	if expected != len(rows) {
		t.Fatalf("%d runs, expected %d", len(rows), expected)
	}
}
