package main

import (
	"sync"
	"time"
)

const (
	// warmUp is how long the runners have been up before the disruption. Their clocks start anew with a crash.
	warmUp = 12 * time.Second
	// crashed is the number of runners that crash, and downFor how long they are down.
	crashed = 1
	downFor = 1 * time.Second
	// killAfter is how long after the acceptance of the jobs the owner loses power, and offFor how long it is off.
	killAfter = 1 * time.Second
	offFor    = 3 * time.Second
	// cutAfter is how long after the owner's loss the runners are cut off, and cutFor for how long. They run on.
	cutAfter = 1250 * time.Millisecond
	cutFor   = 5500 * time.Millisecond
	// longWorkMs is the work of a task of the batch job, in milliseconds.
	longWorkMs = 9000
)

// rebornLease lets some runners of a rack crash and come back under their IDs. Jobs that require the rack are handed in. Then the owner loses
// power, and those runners are cut off and run on.
func rebornLease(w *world, trouble bool) ([]string, error) {
	if err := w.startAll(); err != nil {
		return nil, errCannotRun{err.Error()}
	}
	time.Sleep(warmUp)
	rack := w.runners[8:16]
	victims := rack[:crashed]
	if trouble {
		w.record.note("DISRUPTION: %d runner of rack %s crashes, its machine is silent", crashed, rack[0].rack)
		for _, r := range victims {
			r.crash(true)
		}
		time.Sleep(downFor)
		w.record.note("it is back under its ID")
		for _, r := range victims {
			r.start()
		}
	}
	owner, _ := w.ownerRow()
	if owner == nil {
		return nil, errCannotRun{"no machine of the system writes under a condition"}
	}
	batch := step{Count: 3 * len(rack), CPU: 6000, MemMB: 4000, EstimatedMs: longWorkMs, Requirements: rack[0].rack}
	lasting := batch
	lasting.EstimatedMs, lasting.LongRunning = 500, true
	jobs := []*job{
		{id: "5e7700000000000a", steps: []step{lasting}},
		{id: "5e7700000000000b", steps: []step{batch}, spec: taskSpec{WorkMs: longWorkMs}},
	}
	var submitted sync.WaitGroup
	for i, j := range jobs {
		submitted.Go(func() { w.submit(j, i) })
	}
	submitted.Wait()
	for _, j := range jobs {
		if !j.accepted {
			return nil, errCannotRun{"a job was not accepted"}
		}
	}
	time.Sleep(killAfter)
	if trouble {
		w.record.note("DISRUPTION: %s loses power for %v", owner.name, offFor)
		owner.kill()
		time.AfterFunc(offFor, func() { _ = owner.start() })
		time.Sleep(cutAfter)
		w.record.note("DISRUPTION: the runner that had crashed is cut off for %v", cutFor)
		for _, r := range victims {
			r.setDark(true)
		}
		time.Sleep(cutFor)
		w.record.note("the runner is reached again")
		for _, r := range victims {
			r.setDark(false)
		}
	} else {
		time.Sleep(cutAfter + cutFor)
	}
	time.Sleep(6 * time.Second)
	for i, j := range jobs {
		w.record.note("job %s is %s", j.id, w.state(j, i+1))
	}
	return w.record.twice(), nil
}
