package placesim

import (
	"fmt"
	"testing"
)

// F4 requires at least 10,000 decisions per second and a cost per decision that grows less than 2x from 70 to 20,000
// workers. One decision includes the end of a task, the queueing of another, its placement and the commit.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{70, 300, 3000, 20_000} {
		var cells *Cells
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			if cells == nil {
				cells = NewCells(workers, 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			decisions := 0
			for decisions < b.N {
				decisions += cells.Decide()
			}
			b.ReportMetric(float64(decisions)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
