// Command soak runs real nodes as separate processes on the loopback interface against an emulated platform. It injects faults
// from outside and checks the guarantees of the system by what clients and runners observe. A seed determines the sequence of
// faults.
//
//	go run ./internal/soak --program target/currantthread --seed 7 --duration 20s
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

func main() { os.Exit(soakMain()) }

// soakMain returns the exit code: 0 if all guarantees held.
func soakMain() int {
	var cfg config
	flag.StringVar(&cfg.program, "program", "target/currantthread", "the daemon's program")
	flag.Uint64Var(&cfg.seed, "seed", 1, "seed of jobs and faults")
	flag.DurationVar(&cfg.duration, "duration", 20*time.Second, "time in which jobs are submitted and faults are injected")
	flag.StringVar(&cfg.dir, "dir", "", "directory for settings, logs and records; default is a temporary one, which is kept if a guarantee is broken")
	flag.StringVar(&cfg.plan, "plan", "all", "what to play: "+strings.Join(slices.Sorted(maps.Keys(plans)), ", "))
	flag.Parse()
	if _, ok := plans[cfg.plan]; !ok {
		fmt.Fprintf(os.Stderr, "soak: unknown plan %q\n", cfg.plan)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := run(ctx, cfg)
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		return 1
	}
	fmt.Println(report)
	if len(report.violations) > 0 {
		return 1
	}
	return 0
}
