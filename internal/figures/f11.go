package main

import (
	"fmt"
	"io"
	"time"

	"github.com/currantthread/currantthread/internal/figures/placesim"
)

func init() {
	register(measurement{ID: "F11", Name: "useful batch work with learned interference (virtual time)", Run: runF11})
}

const (
	f11MinWorkRatio = 1.15
	f11Length       = 2 * time.Hour
	f11Seeds        = 3
)

func runF11(out io.Writer) ([]bound, error) {
	headroom, static := placesim.BestStatic(1, f11Length)
	_, _ = fmt.Fprintf(out, "static headroom %.0f%%: p99 slow-down %.3f, %.0f core hours\n", headroom*100, static.P99, static.Work)
	blind := placesim.Headroom(placesim.LearnedConfig(), false, 1, f11Length)
	_, _ = fmt.Fprintf(out, "no learning: p99 slow-down %.3f, %.0f core hours\n", blind.P99, blind.Work)
	var ratios []float64
	p99 := 0.0
	for seed := uint64(1); seed <= f11Seeds; seed++ {
		r := placesim.Headroom(placesim.LearnedConfig(), true, seed, f11Length)
		_, _ = fmt.Fprintf(out, "learned, seed %d: p99 slow-down %.3f, %.0f core hours, %d throttles, %d raises, %d evictions\n",
			seed, r.P99, r.Work, r.Throttles, r.Unthrottles, r.Evictions)
		ratios = append(ratios, r.Work/static.Work)
		p99 = max(p99, r.P99)
	}
	baseline := fmt.Sprintf("static headroom %.0f%%", headroom*100)
	return []bound{
		{What: "useful batch work, median of the seeds", Measured: median(ratios), Limit: f11MinWorkRatio, AtLeast: true, Baseline: baseline},
		{What: "p99 slow-down of services", Measured: p99, Limit: placesim.TailTarget, Baseline: baseline},
	}, nil
}
