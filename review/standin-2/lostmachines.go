package main

import "time"

const (
	// calmBefore is how long the platform's rule wants no disruption before the time in which a task has to run.
	calmBefore = 4 * time.Second
	// lastingWait is how long after its last run a task that lasts may wait, and lastingSpan the time in which it must have run then.
	lastingWait = 6 * time.Second
	lastingSpan = 3 * time.Second
	// observed is how long after the disruption the case looks.
	observed = 16 * time.Second
)

// lostMachines removes two machines of the system, the one that last wrote to the store under a condition and one that its row names,
// together with a runner. None of them comes back.
func lostMachines(w *world, trouble bool) ([]string, error) {
	if err := w.startAll(); err != nil {
		return nil, errCannotRun{err.Error()}
	}
	jobs := lastingJobs(4)
	for i, j := range jobs {
		w.submit(j, i)
		if !j.accepted {
			return nil, errCannotRun{"a job was not accepted before the disruption"}
		}
	}
	if err := w.awaitAtWork(jobs, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(calmBefore + 2*time.Second)
	lostAt := time.Now()
	if trouble {
		victims := w.ownerAndWitness()
		if len(victims) != 2 {
			return nil, errCannotRun{"no machine of the system writes under a condition, or its row names no other"}
		}
		lost := w.busiestRunner()
		w.record.note("DISRUPTION: the machines %s and %s and the runner %s are removed for good", victims[0].name, victims[1].name, lost.id)
		lost.crash(true)
		for _, n := range victims {
			n.kill()
		}
	}
	time.Sleep(observed)
	return w.waitedFrom(lostAt, lostAt), nil
}

// ownerAndWitness returns the owner and the first machine that its row names beside it.
func (w *world) ownerAndWitness() []*node {
	owner, row := w.ownerRow()
	if owner == nil || len(row.Witnesses) == 0 {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == row.Witnesses[0].Node {
			return []*node{owner, n}
		}
	}
	return nil
}

// busiestRunner returns the runner with the most runs.
func (w *world) busiestRunner() *runner {
	busiest, most := w.runners[0], -1
	for _, r := range w.runners {
		r.mu.Lock()
		if r.life != nil && len(r.life.runs) > most {
			busiest, most = r, len(r.life.runs)
		}
		r.mu.Unlock()
	}
	return busiest
}
