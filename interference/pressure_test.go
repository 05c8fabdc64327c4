package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Only some of the images beside a serving task disturb it. They are never observed alone, the task's own load
// fluctuates and the tail latency saturates. The model must still attribute the pressure to the right images.
func TestPressureDistinguishesImages(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const floor, images = 10.0, 9
	truth := func(i int) float64 {
		if i%2 == 0 {
			return 2.5
		}
		return 0.1
	}
	model := NewPressure()
	now := testStart
	model.Observe(now, "s", floor, nil, &Load{})
	for range 40 {
		var load Load
		for range 30 {
			u := 0.3 + 0.2*rng.Float64()
			var shares []Share
			for i := range images {
				if rng.Float64() < 0.4 {
					shares = append(shares, Share{Image: fmt.Sprint(i), Used: 0.02 + 0.1*rng.Float64()})
				}
			}
			for _, s := range shares {
				u += s.Used * truth(int(s.Image[0]-'0'))
			}
			tail := 500.0
			if u < 0.98 {
				tail = floor / (1 - u)
			}
			model.Observe(now, "s", tail, shares, &load)
			now = now.Add(500 * time.Millisecond)
		}
	}
	for i := range images {
		c := model.Coefficient(Pair{"s", fmt.Sprint(i)})
		if i%2 == 0 {
			assert.Assert(t, c > 1.2, "image %d disturbs, learned %.2f", i, c)
		} else {
			assert.Assert(t, c < 0.8, "image %d does not disturb, learned %.2f", i, c)
		}
	}
}

// The limit must keep the tail latency below the target, and an image without observations has none.
func TestLimit(t *testing.T) {
	model := NewPressure()
	assert.Equal(t, model.Limit("s", 50), 0.0)
	model.Observe(testStart, "s", 10, nil, &Load{})
	limit := model.Limit("s", 50)
	assert.Assert(t, 10/(1-limit) <= 50, "limit %.2f", limit)
	assert.Assert(t, limit > 0.7)
}
