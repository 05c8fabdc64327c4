package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/job"
)

// workerHealth holds recent failures on a worker. It distinguishes a worker that fails every job from one that ran bad
// jobs.
type workerHealth struct {
	// failedJobs lists the different jobs that failed on the worker since the last completion.
	failedJobs []string
	// bad is set while the worker gets no starts, which ends at badUntil.
	bad      bool
	badUntil time.Time
	// strikes counts how often the worker was marked bad since the last completion.
	strikes int
	// probation allows one task at a time until one completes or has run for BadWorkerBackoff.
	probation bool
}

// maxFailedJobs bounds the number of failed jobs that are recorded for a worker.
const maxFailedJobs = 16

// maxJobRecords bounds the number of job records. When it is reached, the records of jobs that are not bad are deleted.
const maxJobRecords = 10_000

// jobRecord lists the different workers on which a job failed since its last completion.
type jobRecord struct {
	workers []string
	bad     bool
}

type jobHealth struct {
	records map[string]*jobRecord
	bad     int
}

func (h *jobHealth) isBad(jobID string) bool {
	r := h.records[jobID]
	return r != nil && r.bad
}

func (h *jobHealth) record(jobID string) *jobRecord {
	r := h.records[jobID]
	if r != nil {
		return r
	}
	if len(h.records) >= maxJobRecords {
		for id, old := range h.records {
			if !old.bad {
				delete(h.records, id)
			}
		}
	}
	r = &jobRecord{}
	h.records[jobID] = r
	return r
}

func (h *jobHealth) forget(jobID string) {
	if h.isBad(jobID) {
		h.bad--
	}
	delete(h.records, jobID)
}

// recordFailure records that a task of the job failed on w, and evaluates both. A job counts against a worker only if
// it failed on no other worker, and a worker counts against a job only if it is not bad. This keeps bad jobs from
// marking workers as bad, and bad workers from marking jobs as bad.
func (s *Scheduler) recordFailure(jobID string, w *worker) {
	record := s.jobs.record(jobID)
	if !slices.Contains(record.workers, w.spec.ID) {
		record.workers = append(record.workers, w.spec.ID)
	}
	if !slices.Contains(w.health.failedJobs, jobID) && len(w.health.failedJobs) < maxFailedJobs {
		w.health.failedJobs = append(w.health.failedJobs, jobID)
	}
	for _, id := range record.workers {
		if other := s.workers[id]; other != nil {
			s.evaluateWorker(other)
		}
	}
	for _, id := range w.health.failedJobs {
		s.evaluateJob(id)
	}
}

// recordFailedOn records failures from a task's row, which may be older than this scheduler.
func (s *Scheduler) recordFailedOn(jobID string, workers []string) {
	if len(workers) == 0 {
		return
	}
	record := s.jobs.record(jobID)
	for _, id := range workers {
		if !slices.Contains(record.workers, id) {
			record.workers = append(record.workers, id)
		}
	}
	s.evaluateJob(jobID)
}

func (s *Scheduler) recordCompletion(jobID string, w *worker) {
	if w.health.bad || w.health.probation {
		s.events.workers = true
	}
	w.health = workerHealth{}
	if s.jobs.isBad(jobID) {
		s.events.all = true
	}
	s.jobs.forget(jobID)
}

// evaluateWorker marks w as bad if enough jobs failed on w and on no other worker. It clears the mark if these jobs
// later fail on other workers too.
func (s *Scheduler) evaluateWorker(w *worker) {
	onlyHere, alsoElsewhere := 0, 0
	for _, jobID := range w.health.failedJobs {
		record := s.jobs.records[jobID]
		if record == nil || len(record.workers) <= 1 {
			onlyHere++
		} else {
			alsoElsewhere++
		}
	}
	switch {
	case !w.health.bad && onlyHere >= s.cfg.BadWorkerJobs:
		w.health.strikes++
		factor := time.Duration(1) << min(w.health.strikes-1, 30)
		w.health.bad = true
		w.health.badUntil = s.now.Add(s.cfg.BadWorkerBackoff * min(factor, MaxBackoffFactor))
		s.badWorkers = append(s.badWorkers, w)
	case w.health.bad && onlyHere < s.cfg.BadWorkerJobs && alsoElsewhere > 0:
		s.endBackoff(w)
		w.health.probation = false
		w.health.strikes--
	}
}

// failsEverywhere reports whether t has failed on so many workers that it is parked even if other tasks of its job
// complete.
func (s *Scheduler) failsEverywhere(t *job.Task) bool {
	return s.countGoodWorkers(t.FailedOn) >= s.cfg.BadJobWorkers
}

// countGoodWorkers counts the workers that are not marked bad.
func (s *Scheduler) countGoodWorkers(ids []string) int {
	n := 0
	for _, id := range ids {
		if w := s.workers[id]; w == nil || !w.health.bad {
			n++
		}
	}
	return n
}

func (s *Scheduler) evaluateJob(jobID string) {
	record := s.jobs.records[jobID]
	if record == nil {
		return
	}
	bad := s.countGoodWorkers(record.workers) >= s.cfg.BadJobWorkers
	if bad == record.bad {
		return
	}
	record.bad = bad
	if !bad {
		s.jobs.bad--
		return
	}
	s.jobs.bad++
	s.regroup(jobID)
}

// regroup moves the queued tasks of a job to the groups that match the current health of the job.
func (s *Scheduler) regroup(jobID string) {
	for e := s.queuedByJob[jobID]; e != nil; e = e.next {
		if e.group != nil {
			s.unqueue(e)
			s.queue(e)
		}
	}
}

// endBackoff clears the bad mark of w and puts w on probation.
func (s *Scheduler) endBackoff(w *worker) {
	w.health.bad, w.health.probation = false, true
	s.badWorkers = slices.DeleteFunc(s.badWorkers, func(x *worker) bool { return x == w })
	s.events.workers = true
}

// endBackoffs puts bad workers on probation whose time without starts has ended.
func (s *Scheduler) endBackoffs() {
	for _, w := range slices.Clone(s.badWorkers) {
		if !s.now.Before(w.health.badUntil) {
			s.endBackoff(w)
		}
	}
}

func (s *Scheduler) badJobReason(jobID string) string {
	record := s.jobs.records[jobID]
	return fmt.Sprintf("job %s failed on %d different workers (%s) that run other jobs; correct the job and release it",
		jobID, len(record.workers), strings.Join(record.workers, ", "))
}
