package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	darkFor     = 500 * time.Millisecond
	cutOnceFor  = 5500 * time.Millisecond
	secondCutAt = 5 * time.Second
	killAfter   = 200 * time.Millisecond
	nodeDownFor = 500 * time.Millisecond
)

// playLongLease: a runner loses power for half a second and starts again under its ID. The owner, whose open poll has got no reset, starts a task
// there, and the runner is cut off at that moment. All processes of the system are killed, and start again.
func playLongLease(w *world, trouble bool) error {
	const (
		filler = "5c0e7a21d94b0001"
		job    = "5c0e7a21d94b0002"
	)
	step := func(cpu, ms int) []map[string]any {
		return []map[string]any{{"count": 1, "cpu": cpu, "mem_mb": 1000, "estimated_ms": ms, "requirements": "b"}}
	}
	placed := make(chan *machine, 4)
	for _, m := range w.machines {
		m.mu.Lock()
		m.onStarted = func(command) { placed <- m }
		m.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	// One of the two runners of kind b is full for a while, so that the job goes to the other one.
	if !w.submit(filler, map[string]any{"spec": "0:7000:60000", "steps": step(60000, 7000)}) {
		return errors.New("the first job was not accepted")
	}
	full := <-placed
	var m *machine
	for _, other := range w.machines {
		if other != full && other.labels[0] == "b" {
			m = other
		}
	}
	hit := make(chan struct{}, 1)
	m.mu.Lock()
	m.onStarted = func(command) {
		if trouble {
			// The caller holds mu.
			m.cut = true
			w.record("runner %s cut=true", m.id)
		}
		hit <- struct{}{}
	}
	m.mu.Unlock()
	full.mu.Lock()
	full.onStarted = nil
	full.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		m.losePower()
		time.Sleep(darkFor)
		m.restart()
	}
	if !w.submit(job, map[string]any{"spec": "0:16000:30000", "steps": step(30000, 16000)}) {
		return errors.New("the job was not accepted")
	}
	select {
	case <-hit:
	case <-time.After(10 * time.Second):
		return errors.New("the task was not started where it was expected")
	}
	m.mu.Lock()
	m.onStarted = nil
	m.mu.Unlock()
	if trouble {
		began := time.Now()
		time.Sleep(killAfter)
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(nodeDownFor)
		for _, n := range w.nodes {
			<-n.ended
			if err := n.start(w.daemon); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(secondCutAt)))
		w.record("runner %s is cut off once more, before the first cut has ended", m.id)
		time.Sleep(time.Until(began.Add(secondCutAt + cutOnceFor)))
		m.setCut(false)
	}
	time.Sleep(20 * time.Second)
	w.call("GET", w.nodes[0], job, nil)
	return nil
}
