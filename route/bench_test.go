package route_test

import (
	"testing"
	"time"

	"github.com/currantthread/currantthread/route"
)

// BenchmarkPickParallel measures contention between concurrent calls of Pick; figure F3 measures one call at a time.
func BenchmarkPickParallel(b *testing.B) {
	set := route.NewSet(local, route.Config{EntryVMs: 9})
	set.Update(upstreams("caldas-centro", "chipre", 70))
	for _, e := range set.Endpoints() {
		e.Begin()
		e.Begin()
		e.End(route.Result{Latency: 20 * time.Millisecond, Load: route.Load{InFlight: 5, Slots: 8, Valid: true}})
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := set.Pick(nil, true); err != nil {
				b.Fatal(err)
			}
		}
	})
}
