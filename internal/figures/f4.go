package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/currantthread/currantthread/internal/figures/placesim"
)

func init() {
	register(measurement{ID: "F4", Name: "placement", Run: runF4})
}

const (
	f4MinRate         = 10_000 // decisions per second
	f4MaxGrowth       = 2      // times the cost at f4Small
	f4Small           = 70     // workers
	f4Large           = 20_000 // workers
	f4DecisionsPerRun = 20_000
	f4Runs            = 5
)

// runF4 takes the median of several runs on one processor. Runs alternate between both sizes, so that a change of the
// machine's load affects both.
func runF4(out io.Writer) ([]bound, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	small, large := placesim.NewCells(f4Small, 1), placesim.NewCells(f4Large, 1)
	var smallTimes, largeTimes []float64
	for range f4Runs {
		smallTimes = append(smallTimes, f4Time(small))
		largeTimes = append(largeTimes, f4Time(large))
	}
	smallTime, largeTime := median(smallTimes), median(largeTimes)
	_, _ = fmt.Fprintf(out, "ns per decision at %d workers: %.0f, at %d: %.0f\n", f4Small, smallTimes, f4Large, largeTimes)
	return []bound{
		{What: fmt.Sprintf("decisions/s on one core at %d workers", f4Large), Measured: 1e9 / largeTime, Limit: f4MinRate, AtLeast: true},
		{What: fmt.Sprintf("cost at %d workers / at %d", f4Large, f4Small), Measured: largeTime / smallTime, Limit: f4MaxGrowth},
	}, nil
}

// f4Time returns the time per decision in nanoseconds.
func f4Time(cells *placesim.Cells) float64 {
	start := time.Now()
	n := 0
	for n < f4DecisionsPerRun {
		n += cells.Decide()
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
