// Command figures measures the figures of docs/design.md and prints each beside its target and its baseline. It exits
// with 1 if a bound is broken. Arguments select figures by ID; none means all.
package main

import (
	"fmt"
	"os"
)

func main() {
	list, err := selected(os.Args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !report(os.Stdout, list) {
		os.Exit(1)
	}
}
