package sched

import (
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// sizeKey groups tasks whose sizes are learned together: by kind, or by job if no kind is declared.
type sizeKey struct{ team, kind, job string }

// learnedSize is the learned ratio of used to declared resources: an estimate of a high quantile on each axis.
type learnedSize struct {
	cpu, memory float64
	samples     int
	updated     time.Time
}

const (
	// sizeSamples is the number of reports before a learned size is used, so that a single wrong report has no effect.
	sizeSamples = 5
	// sizeRise and sizeFall are the fractions by which the estimate moves towards a report above or below it. Their
	// ratio makes the estimate converge near the 90th percentile of the reports.
	sizeRise = 0.18
	sizeFall = 0.02
	// maxSizes bounds the number of learned sizes, and so their memory.
	maxSizes = 4096
	// sizeLifetime is the time without reports after which a learned size may be deleted.
	sizeLifetime = 24 * time.Hour
)

func sizeKeyOf(t *job.Task) sizeKey {
	if t.Spec.Kind != "" {
		return sizeKey{team: t.Team, kind: t.Spec.Kind}
	}
	return sizeKey{team: t.Team, job: t.ID.Job()}
}

// learnSize adds a report about t. Ratios are clipped at twice MaxSizeFactor.
func (s *Scheduler) learnSize(t *job.Task, used job.Resources) {
	key := sizeKeyOf(t)
	z := s.sizes[key]
	if z == nil {
		s.dropOldSizes()
		if len(s.sizes) >= maxSizes {
			return
		}
		z = &learnedSize{cpu: 1, memory: 1}
		s.sizes[key] = z
	}
	declared := t.Spec.Resources
	limit := 2 * s.cfg.MaxSizeFactor
	z.cpu = stepTowards(z.cpu, min(ratio(used.CPUMilli, declared.CPUMilli), limit))
	z.memory = stepTowards(z.memory, min(ratio(used.MemoryMiB, declared.MemoryMiB), limit))
	z.samples++
	z.updated = s.now
}

func stepTowards(estimate, sample float64) float64 {
	if sample > estimate {
		return estimate + sizeRise*(sample-estimate)
	}
	return estimate + sizeFall*(sample-estimate)
}

func (s *Scheduler) dropOldSizes() {
	if len(s.sizes) < maxSizes {
		return
	}
	for key, z := range s.sizes {
		if s.now.Sub(z.updated) > sizeLifetime {
			delete(s.sizes, key)
		}
	}
}

// commitment returns the declared size of t, raised to the learned size up to MaxSizeFactor. Accelerators are whole
// devices and are never raised.
func (s *Scheduler) commitment(t *job.Task) job.Resources {
	declared := t.Spec.Resources
	z := s.sizes[sizeKeyOf(t)]
	if z == nil || z.samples < sizeSamples {
		return declared
	}
	raised := declared
	raised.CPUMilli = int64(float64(declared.CPUMilli) * min(z.cpu, s.cfg.MaxSizeFactor))
	raised.MemoryMiB = int64(float64(declared.MemoryMiB) * min(z.memory, s.cfg.MaxSizeFactor))
	return declared.Max(raised)
}

// ReportUsage processes a usage measurement of a task on a worker. Reports about other attempts are ignored.
func (s *Scheduler) ReportUsage(workerID string, u infra.Usage) {
	r := s.tasks[u.Ref.Task]
	if r == nil || r.state == statePlanned || r.worker.spec.ID != workerID || r.task.Attempt != u.Ref.Attempt {
		return
	}
	measuredAt := s.now.Add(-time.Duration(max(u.AgeMillis, 0)) * time.Millisecond)
	if u.CheckpointAgeMillis >= 0 && !measuredAt.Before(r.usageAt) {
		r.checkpointAge = time.Duration(u.CheckpointAgeMillis) * time.Millisecond
		r.usageAt = measuredAt
	}
	if u.Used.Valid() && !u.Used.IsZero() {
		s.learnSize(&r.task, u.Used)
		s.resize(r)
	}
	if u.SlowdownPermille > 0 {
		s.observeSlowdown(r, measuredAt, float64(u.SlowdownPermille)/1000)
	}
	if r.worker.health.probation && s.now.Sub(r.startedAt) >= s.cfg.BadWorkerBackoff {
		r.worker.health.probation = false
		s.events.workers = true
	}
}

// resize adapts the commitment of a running task to its learned size, within the capacity of its worker.
func (s *Scheduler) resize(r *placedTask) {
	if r.state != stateRunning || r.evicting || r.cpuPercent > 0 {
		return
	}
	upper := r.commitment.Add(r.worker.available().Max(job.Resources{}))
	want := r.task.Spec.Resources.Max(minResources(s.commitment(&r.task), upper))
	if want != r.commitment {
		s.setCommitment(r, want)
	}
}
