package main

import (
	"fmt"
	"io"

	"github.com/currantthread/currantthread/internal/figures/placesim"
)

func init() {
	register(measurement{ID: "F9", Name: "urgent start when batch fills the workers (virtual time)", Run: runF9})
}

const (
	f9MaxWait = 2.3 // seconds
	f9Tasks   = 200
	f9Seeds   = 5
)

func runF9(out io.Writer) ([]bound, error) {
	d := placesim.DefaultDelays()
	_, _ = fmt.Fprintf(out, "assumed delays: transaction %v every %v, command %v, report %v, start %v, stop with checkpoint %v\n",
		d.Commit, d.Spacing, d.Command, d.Report, d.Start, d.Stop)
	worst, waiting := 0.0, 0
	for seed := uint64(1); seed <= f9Seeds; seed++ {
		r := placesim.UrgentStarts(seed, f9Tasks)
		last := r.Waits[len(r.Waits)-1]
		_, _ = fmt.Fprintf(out, "seed %d: median %v, longest %v, %d evictions\n", seed, r.Waits[len(r.Waits)/2], last, r.Evictions)
		worst = max(worst, last.Seconds())
		waiting += r.NeverStarted
	}
	return []bound{
		{What: "longest wait of an urgent task, s", Measured: worst, Limit: f9MaxWait},
		{What: "urgent tasks that never started", Measured: float64(waiting), Limit: 0},
	}, nil
}
