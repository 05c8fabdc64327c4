// Command standin3 plays a case of the review: it starts the project's daemon as separate processes beside a store, runners and a client that
// follow the users' pages, on loopback addresses, and checks a rule by what they see.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each returns an error if it could not be played.
var scenarios = map[string]func(w *world, trouble bool) error{
	"late-start":  playLateStart,
	"long-lease":  playLongLease,
	"reborn-gone": playRebornGone,
}

// kindOf returns the kind of a runner: two are of kind b.
func kindOf(i int) string {
	if i%12 == 1 {
		return "b"
	}
	return "a"
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("scenario", "", "case to play")
	daemon := flag.String("daemon", "target/currantthread", "the daemon's program")
	record := flag.String("record", "", "file for the record")
	flag.Parse()
	scenario, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", *name)
		return exitNotRun
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("scenario %s, trouble %v", *name, trouble)
	w.addRunners(24, []string{"chipre", "la-enea"}, func(i int) []string { return []string{kindOf(i), fmt.Sprintf("r1-%d", i/8)} })
	w.configure()
	err = w.addNodes(*daemon, []string{"chipre", "chipre", "la-enea"})
	if err == nil && !w.awaitReady(30*time.Second) {
		err = fmt.Errorf("the nodes did not become ready")
	}
	if err == nil {
		err = scenario(w, trouble)
	}
	w.stop()
	defer w.save(*record)
	if err != nil {
		w.record("the case could not be played: %v", err)
		return exitNotRun
	}
	if len(w.broken) > 0 {
		w.record("%d times a rule was broken", len(w.broken))
		return exitBroken
	}
	w.record("all rules held")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	return exitHeld
}
