package daemon

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/calendar"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
)

func testSchedules(table *standin.Table, vm string) *schedules {
	effective := settings.Defaults()
	effective.Zone.Offsets = map[string][]settings.ZoneOffset{"local": {{Offset: "-05:00"}}}
	effective.Schedules = map[string]settings.Schedule{
		"deposits": {Zone: "local", At: "02:00", Job: "deposits", Team: "t", Tasks: 3, CPU: 1000, Memory: 1 << 30},
	}
	return &schedules{
		settings: func() settings.Effective { return effective }, table: table,
		writer: ledger.NewWriter(table, "schedules/"+vm), log: observe.NewLogger(io.Discard, "sched", vm),
		lastRun: map[string]calendar.Date{},
	}
}

// Each run of a schedule is submitted exactly once, with two daemons, a lost response and a daemon restart.
func TestEachRunIsSubmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		a, b := testSchedules(table, "a"), testSchedules(table, "b")
		for hour := range 24 * 7 {
			if hour == 50 {
				table.SetFaults(standin.TableFaults{LoseResponses: 1})
			}
			if hour == 80 {
				b = testSchedules(table, "b")
			}
			a.submitDue(t.Context(), time.Now())
			b.submitDue(t.Context(), time.Now())
			time.Sleep(time.Hour)
		}
		jobs, err := table.Scan(t.Context(), ledger.JobPrefix, "", 1000)
		assert.NilError(t, err)
		assert.Equal(t, len(jobs), 7)
		tasks, err := table.Scan(t.Context(), ledger.QueuePrefix(ledger.AnyDomain), "", 1000)
		assert.NilError(t, err)
		assert.Equal(t, len(tasks), 21)
	})
}
