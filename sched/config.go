package sched

import (
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/job"
)

// Config holds the scheduler's parameters. Start from DefaultConfig: zero values are used as they are.
type Config struct {
	// MaxEvictions is the number of evictions after which a task is evicted again only if nothing else frees enough
	// capacity.
	MaxEvictions int
	// BadJobWorkers is the number of different workers on which a job must fail before it is parked as a bad job.
	BadJobWorkers int
	// BadWorkerJobs is the number of different jobs that must fail in a row on a worker before the worker gets no
	// starts.
	BadWorkerJobs int
	// BadWorkerBackoff is the initial time for which a bad worker gets no starts. It doubles with each repetition, up
	// to MaxBackoffFactor times this value.
	BadWorkerBackoff time.Duration
	// UsageLag is the delay of usage reports.
	UsageLag time.Duration
	// ReportInterval is the time between two usage reports of a worker.
	ReportInterval time.Duration
	// RetryBackoff is the wait before a task that failed once is retried. It doubles with each worker on which the task
	// failed.
	RetryBackoff time.Duration
	// SlowdownTarget is the largest acceptable slowdown of services; 1.3 means 30% slower than when run alone.
	SlowdownTarget float64
	// Confidence is the number of standard deviations added to a predicted slowdown before it is compared with
	// SlowdownTarget.
	Confidence float64
	// StaticHeadroom is the fraction (0 to 1) of processor time that batch work leaves free on a worker that runs
	// services. It replaces learned interference if DisableInterference is set, and applies in addition otherwise.
	StaticHeadroom float64
	// DisableInterference turns off the use of learned interference, both in placement and in throttling.
	DisableInterference bool
	// MaxSizeFactor is the largest ratio of a commitment to the declared size.
	MaxSizeFactor float64
	// Teams holds quotas and weights by team. An absent team has no quota and weight 1.
	Teams map[string]Team
}

// MaxBackoffFactor is the largest multiple of BadWorkerBackoff for which a bad worker gets no starts.
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

// effectDelay is the time after which usage reports show the effect of an action.
func (c Config) effectDelay() time.Duration { return c.UsageLag + c.ReportInterval }

// axisNames are the names of the resources in reasons.
var axisNames = [...]string{fairshare.Processors: "processors", fairshare.Memory: "memory", fairshare.Accelerators: "accelerators"}

// exceededAxis returns the first axis on which r exceeds quota, or "".
func exceededAxis(r, quota job.Resources) string {
	if axis := fairshare.Exceeded(amounts(r), amounts(quota)); axis >= 0 {
		return axisNames[axis]
	}
	return ""
}
