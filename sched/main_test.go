package sched

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes property tests long enough for states that need many calls, such as a bad worker on probation.
// Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "500", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
