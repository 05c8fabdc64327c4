package placesim

import (
	"fmt"
	"testing"

	"github.com/currantthread/currantthread/sched"
)

func TestTrial(t *testing.T) {
	r := UrgentStarts(1, 200)
	fmt.Println(len(r.Waits), r.Waits[0], r.Waits[len(r.Waits)/2], r.Waits[len(r.Waits)-1], r.Evictions, r.Queued)
	for _, h := range []float64{0.35} {
		cfg := sched.DefaultConfig()
		cfg.DisableInterference, cfg.StaticHeadroom = true, h
		fmt.Println("static", h, Headroom(cfg, false, 1))
	}
	for _, target := range []float64{1.2, 1.22, 1.25} {
		cfg := sched.DefaultConfig()
		cfg.SlowdownTarget = target
		fmt.Println("learned", target, Headroom(cfg, true, 1))
	}
	fmt.Println("prior", Headroom(sched.DefaultConfig(), false, 1))
}
