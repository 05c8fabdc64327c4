package sched

import (
	"time"

	"github.com/currantthread/currantthread/job"
)

// Config holds the scheduler's parameters. Start from DefaultConfig; a zero is taken as it is.
type Config struct {
	// MaxEvictions is the number of evictions after which a task is a victim only if nothing else fits.
	MaxEvictions int
	// BadJobWorkers is the number of different workers on which a job must fail to be parked as a bad job.
	BadJobWorkers int
	// BadWorkerJobs is the number of different jobs that must fail in a row on a worker before it gets no starts.
	BadWorkerJobs int
	// BadWorkerBackoff is the first time without starts of a bad worker. It doubles up to MaxBackoffFactor times that.
	BadWorkerBackoff time.Duration
	// UsageLag is the lag of usage reports.
	UsageLag time.Duration
	// ReportInterval is the time between two usage reports of a worker.
	ReportInterval time.Duration
	// RetryBackoff is the wait before a task that failed once is tried again. It doubles with each failed worker.
	RetryBackoff time.Duration
	// SlowdownTarget is the largest acceptable slow-down of services; 1.3 means 30% slower than alone.
	SlowdownTarget float64
	// Confidence is the number of standard deviations added to a predicted slow-down before it is compared with
	// SlowdownTarget.
	Confidence float64
	// StaticHeadroom is the part of a worker that runs services and that batch work leaves free, 0 to 1. It replaces
	// the learned interference if DisableInterference is set, and adds to it otherwise.
	StaticHeadroom float64
	// DisableInterference places without regard to learned interference.
	DisableInterference bool
	// MaxSizeFactor limits how far a learned size raises a commitment above the declared size.
	MaxSizeFactor float64
	// Teams holds quotas and weights. A team that is absent has no limit and weight 1.
	Teams map[string]Team
}

// MaxBackoffFactor limits the growth of a bad worker's time without starts.
const MaxBackoffFactor = 16

// DefaultConfig returns the defaults of the [sched] settings.
func DefaultConfig() Config {
	return Config{
		MaxEvictions:     3,
		BadJobWorkers:    3,
		BadWorkerJobs:    3,
		BadWorkerBackoff: time.Minute,
		UsageLag:         10 * time.Second,
		ReportInterval:   time.Second,
		RetryBackoff:     time.Second,
		SlowdownTarget:   1.3,
		Confidence:       1,
		MaxSizeFactor:    2,
	}
}

// effectDelay is the time before the effect of an action can show in usage reports.
func (c Config) effectDelay() time.Duration { return c.UsageLag + c.ReportInterval }

func exceeds(r, quota job.Resources) string {
	switch {
	case quota.CPUMilli > 0 && r.CPUMilli > quota.CPUMilli:
		return "processors"
	case quota.MemoryMiB > 0 && r.MemoryMiB > quota.MemoryMiB:
		return "memory"
	case quota.Accelerators > 0 && r.Accelerators > quota.Accelerators:
		return "accelerators"
	}
	return ""
}
