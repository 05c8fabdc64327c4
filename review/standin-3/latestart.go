package main

import (
	"errors"
	"sync"
	"time"
)

const (
	lateAfter  = 6 * time.Second
	cutAfter   = 3 * time.Second
	cutFor     = 5 * time.Second
	rebornInto = 1 * time.Second
)

// playLateStart: the first start of a task has no response from its runner and is carried out late. Meanwhile the task is started elsewhere, the
// runner is cut off from the system, and its process crashes behind the cut and starts again under its ID.
func playLateStart(w *world, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	hit := make(chan *machine, 1)
	var first sync.Once
	for _, m := range w.machines {
		m.mu.Lock()
		m.onStart = func(c command) (unanswered bool, late time.Duration) {
			if !trouble || c.Task != task || c.Run != 1 {
				return false, 0
			}
			first.Do(func() {
				late = lateAfter
				hit <- m
			})
			return true, late
		}
		m.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	if !w.submit(id, map[string]any{"spec": "0:9000:4000", "steps": []map[string]any{{"count": 1, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 9000}}}) {
		return errors.New("the job was not accepted")
	}
	if trouble {
		var m *machine
		select {
		case m = <-hit:
		case <-time.After(10 * time.Second):
			return errors.New("no start command arrived")
		}
		time.Sleep(cutAfter)
		m.setCut(true)
		time.Sleep(rebornInto)
		m.crash()
		m.restart()
		time.Sleep(cutFor - rebornInto)
		m.setCut(false)
	}
	time.Sleep(12 * time.Second)
	w.call("GET", w.nodes[0], id, nil)
	return nil
}
