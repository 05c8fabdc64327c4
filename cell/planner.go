package cell

import (
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
	"github.com/currantthread/currantthread/settings"
)

// Planner makes the placement decisions of one ownership. *sched.Scheduler implements it.
type Planner interface {
	SetConfig(cfg sched.Config)
	UpsertWorker(w sched.Worker)
	RemoveWorker(id string)
	SetWorkerReady(id string, ready bool)
	Enqueue(t job.Task) error
	Dequeue(id job.TaskID) bool
	Restore(a sched.Allocation)
	Plan(now time.Time, limit int) sched.Plan
	Commit(plan sched.Plan)
	Abort(plan sched.Plan)
	AbortStart(id job.TaskID)
	MarkStopping(id job.TaskID)
	Release(id job.TaskID, end sched.End) bool
	ReportUsage(worker string, u infra.Usage)
}

// NewPlanner returns an empty scheduler configured with s.
func NewPlanner(s settings.Effective) Planner {
	return sched.New(PlannerConfig(s), interference.New(interference.DefaultConfig()))
}

// PlannerConfig translates settings into the scheduler's parameters.
func PlannerConfig(s settings.Effective) sched.Config {
	cfg := sched.DefaultConfig()
	cfg.MaxEvictions = s.Sched.MaxEvictions
	cfg.BadJobWorkers = s.Sched.BadJobWorkers
	cfg.BadWorkerJobs = s.Sched.BadWorkerJobs
	cfg.BadWorkerBackoff = s.Sched.BadWorkerBackoff.D()
	cfg.UsageLag = s.Sched.UsageLag.D()
	cfg.Teams = map[string]sched.Team{}
	for name, t := range s.Teams {
		cfg.Teams[name] = sched.Team{
			Quota: job.Resources{
				CPUMilli:     int64(t.CPUCores) * 1000,
				MemoryMiB:    int64(t.Memory) >> 20,
				Accelerators: int64(t.Accelerators),
			},
			Weight: t.Weight,
		}
	}
	return cfg
}
