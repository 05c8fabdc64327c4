package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/calendar"
	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

const (
	// checkInterval is the average time between checks of the schedules. The actual time is jittered by half of it.
	checkInterval = 5 * time.Second
	checkTimeout  = 5 * time.Second
	// maxDueRuns bounds the missed runs of one schedule that are submitted in one check.
	maxDueRuns       = 10
	schedulePageSize = 1000
)

// schedules submits the due runs of all schedules. Every sched daemon does this; a conditional write of the run's row
// ensures that only one of them submits the run.
type schedules struct {
	settings func() settings.Effective
	table    infra.Table
	writer   *ledger.Writer
	log      *logrus.Entry
	// lastRun is the civil date of the latest known run of each schedule.
	lastRun map[string]calendar.Date
	// unresolved is set while the outcome of the last write is unknown.
	unresolved bool
}

func newSchedules(d *daemon) *schedules {
	return &schedules{
		settings: d.follower.Effective, table: d.table, writer: ledger.NewWriter(d.table, "schedules/"+d.boot.VM),
		log: d.log, lastRun: map[string]calendar.Date{},
	}
}

func (s *schedules) run(ctx context.Context) {
	for {
		s.submitDue(ctx, time.Now())
		timer := time.NewTimer(checkInterval/2 + rand.N(checkInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// submitDue submits the runs that are due at now. Runs that fail to be submitted are retried at the next check.
func (s *schedules) submitDue(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if s.unresolved {
		if _, err := s.writer.Resolve(ctx); err != nil {
			return
		}
		s.unresolved = false
		// The write may have recorded a run, so the latest runs are read again.
		clear(s.lastRun)
	}
	effective := s.settings()
	zones, _ := calendar.ParseZones(effective.Zone)
	for _, name := range slices.Sorted(maps.Keys(effective.Schedules)) {
		schedule, err := calendar.ParseSchedule(name, effective.Schedules[name])
		if err != nil {
			continue // The settings check reports it.
		}
		zone, ok := zones[schedule.Zone]
		if ok && !s.submitDueRuns(ctx, schedule, zone, effective.Schedules[name], now) {
			return
		}
	}
}

// submitDueRuns submits the due runs of one schedule.
func (s *schedules) submitDueRuns(ctx context.Context, schedule calendar.Schedule, zone calendar.Zone, spec settings.Schedule, now time.Time) bool {
	if _, known := s.lastRun[schedule.Name]; !known && !s.loadLastRun(ctx, schedule, zone, now) {
		return false
	}
	for _, run := range schedule.Due(zone, s.lastRun[schedule.Name], now, maxDueRuns) {
		j := jobOf(spec, run, now)
		txn := control.SubmitTxn(j)
		if !s.commit(ctx, run.Schedule, run.ID(), j.ID, txn) {
			return false
		}
		s.lastRun[schedule.Name] = run.Date
	}
	return true
}

// loadLastRun reads the latest run of a schedule. For a schedule without runs it writes a row with the date after which
// runs are due (see calendar.Schedule.Start), so that a restart of all daemons does not skip the first run.
func (s *schedules) loadLastRun(ctx context.Context, schedule calendar.Schedule, zone calendar.Zone, now time.Time) bool {
	prefix := ledger.ScheduleRunKey(schedule.Name, "")
	after := ""
	for {
		rows, err := s.table.Scan(ctx, prefix, after, schedulePageSize)
		if err != nil {
			return false
		}
		for _, row := range rows {
			if date, err := calendar.ParseRunDate(strings.TrimPrefix(row.Key, prefix)); err == nil {
				s.lastRun[schedule.Name] = max(s.lastRun[schedule.Name], date)
			}
			after = row.Key
		}
		if len(rows) < schedulePageSize {
			break
		}
	}
	if _, known := s.lastRun[schedule.Name]; known {
		return true
	}
	start := schedule.StartDate(zone, now)
	id := time.Unix(int64(start)*int64(24*time.Hour/time.Second), 0).UTC().Format("2006-01-02T15:04")
	if !s.commit(ctx, schedule.Name, id, "", infra.Txn{}) {
		return false
	}
	s.lastRun[schedule.Name] = start
	return true
}

// commit writes txn together with the row of a run, and reports whether that row is known to exist, written by this daemon
// or another one.
func (s *schedules) commit(ctx context.Context, schedule, run, jobID string, txn infra.Txn) bool {
	key := ledger.ScheduleRunKey(schedule, run)
	txn.Conditions = append(txn.Conditions, infra.Condition{Key: key})
	txn.Writes = append(txn.Writes, infra.Write{Key: key, Value: []byte(jobID)})
	_, err := s.writer.Commit(ctx, txn)
	switch {
	case err == nil:
		s.log.WithField("schedule", schedule).WithField("run", run).WithField("job", jobID).Info("scheduled run recorded")
		return true
	case infra.IsConflict(err):
		return true
	default:
		s.unresolved = infra.IsUnknownOutcome(err)
		return false
	}
}

// jobOf returns the job of one run. The job ID is derived from the run, so that all daemons submit the same job.
func jobOf(s settings.Schedule, run calendar.Run, now time.Time) job.Job {
	return job.Job{
		ID: "schedule-" + run.Schedule + "-" + run.ID(), Name: s.Job, Team: s.Team, Tasks: s.Tasks,
		Spec: job.TaskSpec{
			Class: job.ClassBatch, Priority: job.PriorityBatch, Kind: s.Kind,
			Resources: job.Resources{CPUMilli: int64(s.CPU), MemoryMiB: int64(s.Memory) >> 20},
		},
		SubmittedAt: now.UnixMilli(),
	}
}
