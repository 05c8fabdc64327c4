package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/job"
)

// workerHealth tells a worker that fails everything from one that was given bad jobs.
type workerHealth struct {
	// streak lists the different jobs that failed since the last completion.
	streak []string
	bad    bool
	until  time.Time
	// strikes counts how often the worker was judged bad since the last completion.
	strikes int
	// probation allows one task at a time until one completes or has run for BadWorkerBackoff.
	probation bool
}

// maxStreak bounds the memory of a worker's failures.
const maxStreak = 16

// maxJobRecords bounds the memory of jobs' failures; beyond it, records of jobs that are not bad are dropped.
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

// noteFailure records that a task of the job failed on w, and judges both. Only failures of jobs that failed nowhere
// else count against a worker, and only workers that are not bad count against a job, so that neither hides behind
// the other.
func (s *Scheduler) noteFailure(jobID string, w *worker) {
	record := s.jobs.record(jobID)
	if !slices.Contains(record.workers, w.spec.ID) {
		record.workers = append(record.workers, w.spec.ID)
	}
	if !slices.Contains(w.health.streak, jobID) && len(w.health.streak) < maxStreak {
		w.health.streak = append(w.health.streak, jobID)
	}
	for _, id := range record.workers {
		if other := s.workers[id]; other != nil {
			s.judgeWorker(other)
		}
	}
	for _, id := range w.health.streak {
		s.judgeJob(id)
	}
}

// noteFailedOn takes over failures that were recorded before this scheduler existed.
func (s *Scheduler) noteFailedOn(jobID string, workers []string) {
	if len(workers) == 0 {
		return
	}
	record := s.jobs.record(jobID)
	for _, id := range workers {
		if !slices.Contains(record.workers, id) {
			record.workers = append(record.workers, id)
		}
	}
	s.judgeJob(jobID)
}

func (s *Scheduler) noteCompletion(jobID string, w *worker) {
	if w.health.bad || w.health.probation {
		s.events.workers = true
	}
	w.health = workerHealth{}
	if s.jobs.isBad(jobID) {
		s.events.all = true
	}
	s.jobs.forget(jobID)
}

// judgeWorker marks w as bad if enough jobs failed on it that failed nowhere else, and clears the mark if its failures
// turn out to be those of bad jobs.
func (s *Scheduler) judgeWorker(w *worker) {
	own, explained := 0, 0
	for _, jobID := range w.health.streak {
		record := s.jobs.records[jobID]
		if record == nil || len(record.workers) <= 1 {
			own++
		} else {
			explained++
		}
	}
	switch {
	case !w.health.bad && own >= s.cfg.BadWorkerJobs:
		w.health.strikes++
		factor := time.Duration(1) << min(w.health.strikes-1, 30)
		w.health.bad = true
		w.health.until = s.now.Add(s.cfg.BadWorkerBackoff * min(factor, MaxBackoffFactor))
		s.badWorkers = append(s.badWorkers, w)
	case w.health.bad && own < s.cfg.BadWorkerJobs && explained > 0:
		s.endBackoff(w)
		w.health.probation = false
		w.health.strikes--
	}
}

// failsEverywhere reports whether t alone failed on so many workers that it is parked, even if other tasks of its job
// complete.
func (s *Scheduler) failsEverywhere(t *job.Task) bool {
	return s.goodWorkers(t.FailedOn) >= s.cfg.BadJobWorkers
}

// goodWorkers counts the workers that are not judged bad.
func (s *Scheduler) goodWorkers(ids []string) int {
	n := 0
	for _, id := range ids {
		if w := s.workers[id]; w == nil || !w.health.bad {
			n++
		}
	}
	return n
}

func (s *Scheduler) judgeJob(jobID string) {
	record := s.jobs.records[jobID]
	if record == nil {
		return
	}
	bad := s.goodWorkers(record.workers) >= s.cfg.BadJobWorkers
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

// regroup moves the queued tasks of a job to groups of their own or back.
func (s *Scheduler) regroup(jobID string) {
	for e := s.jobTasks[jobID]; e != nil; e = e.next {
		if e.group != nil {
			s.unqueue(e)
			s.queue(e)
		}
	}
}

func (s *Scheduler) endBackoff(w *worker) {
	w.health.bad, w.health.probation = false, true
	s.badWorkers = slices.DeleteFunc(s.badWorkers, func(x *worker) bool { return x == w })
	s.events.workers = true
}

// endBackoffs returns bad workers whose time without starts is over.
func (s *Scheduler) endBackoffs() {
	for _, w := range slices.Clone(s.badWorkers) {
		if !s.now.Before(w.health.until) {
			s.endBackoff(w)
		}
	}
}

func (s *Scheduler) badJobReason(jobID string) string {
	record := s.jobs.records[jobID]
	return fmt.Sprintf("job %s failed on %d different workers (%s) that run other jobs; correct the job and release it",
		jobID, len(record.workers), strings.Join(record.workers, ", "))
}
