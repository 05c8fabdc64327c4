package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	cases["kind"] = struct {
		nodes int
		play  func(w *world, trouble bool) error
	}{3, playKind}
}

const (
	// reborn is the number of runners that crash, one after the other, and crashTime how long each of them is down.
	reborn    = 3
	crashTime = 2 * time.Second
)

// playKind runs a job whose tasks require runners of kind "b". The runners of that kind crash one after the other, and each
// starts again under its ID, at its address and as kind "a".
func playKind(w *world, trouble bool) error {
	for i := range 6 {
		w.fleet.add(fmt.Sprintf("i-%04d", i), capacity{CPU: 64000, MemMB: 250000}, "a", "r1-1")
	}
	for i := range reborn + 1 {
		w.fleet.add(fmt.Sprintf("i-%04d", 100+i), capacity{CPU: 64000, MemMB: 250000}, "b", "r1-2")
	}
	w.configure(7, w.queue())
	if err := w.startNodes(); err != nil {
		return err
	}
	n := w.nodes[0]
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "requires b",
		Steps: []step{{Count: 120, CPU: 20000, MemMB: 8000, EstimatedMs: 1500, Requirements: "b", takes: 1500 * time.Millisecond}}}
	if status := w.submit(n, j, clientDeadline); status != 200 {
		return errors.New("the job was not accepted")
	}
	for i := range reborn {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		r := w.fleet.runners[6+i]
		r.crash()
		time.Sleep(crashTime)
		r.start([]string{"a", "r1-2"})
	}
	time.Sleep(8 * time.Second)
	w.state(n, j.ID)
	return nil
}
