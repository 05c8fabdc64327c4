package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// movedDown is how long the runner is down that comes back at another address, and reusedAfter how long after that another runner starts at
	// its former address.
	movedDown, reusedAfter = 2 * time.Second, 2 * time.Second
	// settled is how long nothing happens then.
	settled = 8 * time.Second
	// storeCutFor is how long the runner does not reach the store, and powerAfter how long after its beginning the owner loses power.
	storeCutFor, powerAfter = 5 * time.Second, 1500 * time.Millisecond
	// movedWorkMs is the work of a task of the batch job, in milliseconds.
	movedWorkMs = 9000
)

// movedRunner lets a runner crash and come back under its ID at another address, and an empty runner start at its former address. Later that
// runner is cut off from the store, and the owner loses power.
func movedRunner(w *world, trouble bool) ([]string, error) {
	if err := w.startAll(); err != nil {
		return nil, errCannotRun{err.Error()}
	}
	rack := w.runners[8:16]
	moved := rack[0]
	time.Sleep(3 * time.Second)
	if trouble {
		if err := w.move(moved); err != nil {
			return nil, errCannotRun{err.Error()}
		}
	}
	time.Sleep(settled)
	batch := step{Count: 3 * len(rack), CPU: 6000, MemMB: 4000, EstimatedMs: movedWorkMs, Requirements: moved.rack}
	lasting := batch
	lasting.EstimatedMs, lasting.LongRunning = 500, true
	jobs := []*job{
		{id: "ad0700000000000a", steps: []step{lasting}},
		{id: "ad0700000000000b", steps: []step{batch}, spec: taskSpec{WorkMs: movedWorkMs}},
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
	time.Sleep(2 * time.Second)
	if trouble {
		owner, _ := w.ownerRow()
		if owner == nil {
			return nil, errCannotRun{"no machine of the system writes under a condition"}
		}
		w.record.note("DISRUPTION: %s is cut off from the store for %v", moved.id, storeCutFor)
		moved.setStoreCut(true)
		time.AfterFunc(storeCutFor, func() {
			moved.setStoreCut(false)
			w.record.note("%s reaches the store again", moved.id)
		})
		time.Sleep(powerAfter)
		w.record.note("DISRUPTION: %s loses power for %v", owner.name, offFor)
		owner.kill()
		time.AfterFunc(offFor, func() { _ = owner.start() })
	}
	time.Sleep(14 * time.Second)
	for i, j := range jobs {
		w.record.note("job %s is %s", j.id, w.state(j, i+1))
	}
	return w.record.twice(), nil
}

func (r *runner) setStoreCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeCut = cut
}

// move lets a runner crash and come back under its ID at another address, and an empty runner start at its former address.
func (w *world) move(r *runner) error {
	former := r.port
	w.record.note("DISRUPTION: %s at %s crashes", r.id, r.addr)
	r.crash(false)
	former.current.Store(nil)
	time.Sleep(movedDown)
	p, addr, err := listen()
	if err != nil {
		return err
	}
	r.mu.Lock()
	formerAddr := r.addr
	r.addr, r.port = addr, p
	r.mu.Unlock()
	p.current.Store(r)
	r.start()
	w.record.note("%s is back at %s", r.id, addr)
	time.Sleep(reusedAfter)
	added := &runner{world: w, id: fmt.Sprintf("i-%04x", 0x100), zone: r.zone, rack: "r9", addr: formerAddr, port: former}
	former.current.Store(added)
	added.start()
	w.runners = append(w.runners, added)
	go added.beat(w.stop)
	w.record.note("the empty runner %s starts at %s", added.id, formerAddr)
	return nil
}
