// Command standin-2 plays one case of the second review: it starts the system's processes with the command of the deploy file beside
// stand-ins of the platform, the runners and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errCannotRun means that a case could not be played, which says nothing about the rule.
type errCannotRun struct{ reason string }

func (e errCannotRun) Error() string { return e.reason }

// cases plays the cases by name. Each returns how the rule was broken; trouble is false if the disruption is left out.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"lost-machines":    lostMachines,
	"moved-runner":     movedRunner,
	"reborn-lease":     rebornLease,
	"second-successor": secondSuccessor,
}

// sizes are the numbers of nodes and runners of the cases.
var sizes = map[string][2]int{
	"lost-machines":    {9, 24},
	"moved-runner":     {9, 24},
	"reborn-lease":     {9, 24},
	"second-successor": {9, 24},
}

func main() { os.Exit(play()) }

// play returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DIRECTORY")
		return 2
	}
	name, dir := os.Args[1], os.Args[2]
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(sizes[name][0], sizes[name][1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		w.close()
		os.Exit(2)
	}()
	broken, err := run(w, trouble)
	w.close()
	for _, text := range broken {
		w.record.note("BROKEN %s", text)
		fmt.Println(text)
	}
	if writeErr := w.record.write(filepath.Join(dir, "record.txt")); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// atWork returns, for each task of the jobs, whether it runs and is at work.
func (w *world) atWork(jobs []*job) (working, tasks int) {
	byTask := w.record.byTask()
	for _, j := range jobs {
		for s, st := range j.steps {
			for i := range st.Count {
				tasks++
				for _, u := range byTask[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)] {
					if u.ended.IsZero() && time.Since(u.began) > startupMs*time.Millisecond {
						working++
						break
					}
				}
			}
		}
	}
	return working, tasks
}

func (w *world) awaitAtWork(jobs []*job, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if working, tasks := w.atWork(jobs); working == tasks {
			return nil
		}
	}
	return errCannotRun{"the tasks that last do not run before the disruption"}
}

func lastingJobs(n int) []*job {
	var jobs []*job
	for i := range n {
		jobs = append(jobs, &job{id: fmt.Sprintf("1a57%012x", i), steps: []step{{Count: 6, CPU: 13000, MemMB: 26000, EstimatedMs: 500, LongRunning: true}}})
	}
	return jobs
}
