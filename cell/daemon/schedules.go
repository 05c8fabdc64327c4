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
	// scheduleInterval is the time between looks at the schedules, before jitter.
	scheduleInterval = 5 * time.Second
	scheduleTimeout  = 5 * time.Second
	// maxDueRuns bounds the missed runs of one schedule that are submitted in one look.
	maxDueRuns   = 10
	schedulePage = 1000
)

// schedules submits the due runs of all schedules. Every sched daemon does so; the row of a run lets one of them win.
type schedules struct {
	settings func() settings.Effective
	table    infra.Table
	writer   *ledger.Writer
	log      *logrus.Entry
	// last is the civil date of the latest run that each schedule is known to have had.
	last map[string]calendar.Date
	// unresolved is set while the outcome of the last write is unknown.
	unresolved bool
}

func newSchedules(d *daemon) *schedules {
	return &schedules{
		settings: d.follower.Effective, table: d.table, writer: ledger.NewWriter(d.table, "schedules/"+d.boot.VM),
		log: d.log, last: map[string]calendar.Date{},
	}
}

func (s *schedules) run(ctx context.Context) {
	for {
		s.look(ctx, time.Now())
		timer := time.NewTimer(scheduleInterval/2 + rand.N(scheduleInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// look submits what is due at now. What fails is due again at the next look.
func (s *schedules) look(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, scheduleTimeout)
	defer cancel()
	if s.unresolved {
		if _, err := s.writer.Resolve(ctx); err != nil {
			return
		}
		s.unresolved = false
		// What was written is read again.
		clear(s.last)
	}
	effective := s.settings()
	zones, _ := calendar.ParseZones(effective.Zone)
	for _, name := range slices.Sorted(maps.Keys(effective.Schedules)) {
		schedule, err := calendar.ParseSchedule(name, effective.Schedules[name])
		if err != nil {
			continue // The settings check reports it.
		}
		zone, ok := zones[schedule.Zone]
		if ok && !s.follow(ctx, schedule, zone, effective.Schedules[name], now) {
			return
		}
	}
}

// follow submits the due runs of one schedule.
func (s *schedules) follow(ctx context.Context, schedule calendar.Schedule, zone calendar.Zone, spec settings.Schedule, now time.Time) bool {
	if _, known := s.last[schedule.Name]; !known && !s.load(ctx, schedule, zone, now) {
		return false
	}
	for _, run := range schedule.Due(zone, s.last[schedule.Name], now, maxDueRuns) {
		j := jobOf(spec, run, now)
		txn := control.SubmitTxn(j)
		if !s.commit(ctx, run.Schedule, run.ID(), j.ID, txn) {
			return false
		}
		s.last[schedule.Name] = run.Date
	}
	return true
}

// load reads the latest run of a schedule. A schedule without any gets a row of the date from which it counts, so that
// a restart of all daemons does not skip its first run.
func (s *schedules) load(ctx context.Context, schedule calendar.Schedule, zone calendar.Zone, now time.Time) bool {
	prefix := ledger.ScheduleRunKey(schedule.Name, "")
	after := ""
	for {
		rows, err := s.table.Scan(ctx, prefix, after, schedulePage)
		if err != nil {
			return false
		}
		for _, row := range rows {
			if date, err := calendar.DateOfRun(strings.TrimPrefix(row.Key, prefix)); err == nil {
				s.last[schedule.Name] = max(s.last[schedule.Name], date)
			}
			after = row.Key
		}
		if len(rows) < schedulePage {
			break
		}
	}
	if _, known := s.last[schedule.Name]; known {
		return true
	}
	start := schedule.Start(zone, now)
	id := time.Unix(int64(start)*int64(24*time.Hour/time.Second), 0).UTC().Format("2006-01-02T15:04")
	if !s.commit(ctx, schedule.Name, id, "", infra.Txn{}) {
		return false
	}
	s.last[schedule.Name] = start
	return true
}

// commit writes txn together with the row of a run. It reports true also if another daemon has written that row.
func (s *schedules) commit(ctx context.Context, schedule, run, jobID string, txn infra.Txn) bool {
	key := ledger.ScheduleRunKey(schedule, run)
	txn.Conditions = append(txn.Conditions, infra.Condition{Key: key})
	txn.Writes = append(txn.Writes, infra.Write{Key: key, Value: []byte(jobID)})
	_, err := s.writer.Commit(ctx, txn)
	switch {
	case err == nil:
		s.log.WithField("schedule", schedule).WithField("run", run).WithField("job", jobID).Info("run of the schedule recorded")
		return true
	case infra.IsConflict(err):
		return true
	default:
		s.unresolved = infra.IsUnknownOutcome(err)
		return false
	}
}

// jobOf returns the job of one run. Its ID follows from the run, so that a run has one job whoever submits it.
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
