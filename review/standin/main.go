// Command standin runs a case of the review: the project's own program as separate processes against small stand-ins of the
// platform's store, the runners and the clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"sort"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. trouble is false for the same run without the disruption.
var cases = map[string]struct {
	nodes int
	play  func(w *world, trouble bool) error
}{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(record, c.nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	if err := c.play(w, os.Getenv("TROUBLE") != "0"); err != nil {
		w.book.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, n := range w.nodes {
		if n.exited() {
			w.book.mu.Lock()
			w.book.broken("Fault", "process of %s ended by itself", n.name)
			w.book.mu.Unlock()
		}
	}
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	rules := make([]string, 0, len(w.book.violations))
	for rule := range w.book.violations {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		fmt.Printf("%s broken %d times, first: %s\n", rule, len(w.book.violations[rule]), w.book.violations[rule][0])
	}
	if len(rules) > 0 {
		return exitBroken
	}
	fmt.Println("all rules held")
	return exitHeld
}
