// Command figures takes the performance measurements listed in docs/design.md (F1, F2, ...) and prints each with its
// target and its baseline. It exits with status 1 if a measurement fails or violates its bound, and with status 2 if an
// argument is not a known ID. Arguments select measurements by ID; without arguments it takes all that do not have to be
// selected explicitly.
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
