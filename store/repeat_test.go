package store

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/wait"
)

// A call without a response is repeated once, one that fails is not, and slow responses are waited for.
func TestRepeat(t *testing.T) {
	const delay, timeout = time.Second, 4 * time.Second
	errTimeout := errors.New("timeout")
	for name, c := range map[string]struct {
		// took are the response times of the calls; longer ones than timeout get no response.
		took   []time.Duration
		before time.Duration
		fail   bool
		calls  int64
		within time.Duration
		err    error
	}{
		"fast":                  {took: []time.Duration{time.Millisecond}, calls: 1, within: time.Millisecond},
		"refused":               {took: []time.Duration{time.Millisecond}, fail: true, calls: 1, within: time.Millisecond, err: ErrUnavailable},
		"no response":           {took: []time.Duration{time.Hour, time.Millisecond}, calls: 2, within: delay + time.Millisecond},
		"late response":         {took: []time.Duration{delay + 100*time.Millisecond, time.Hour}, calls: 2, within: delay + 100*time.Millisecond},
		"no response at all":    {took: []time.Duration{time.Hour, time.Hour}, calls: 2, within: delay + timeout, err: errTimeout},
		"store is slow already": {took: []time.Duration{1500 * time.Millisecond}, before: time.Second, calls: 1, within: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Repeater{Delay: delay}
				r.took.Store(int64(c.before))
				var calls atomic.Int64
				started := time.Now()
				_, err := Repeat(t.Context(), r, 0, func(ctx context.Context) (Page, error) {
					took := c.took[calls.Add(1)-1]
					wait.For(ctx, min(took, timeout))
					switch {
					case took > timeout:
						return Page{}, errTimeout
					case c.fail:
						return Page{}, ErrUnavailable
					}
					return Page{}, nil
				})
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, time.Since(started), c.within)
				assert.Equal(t, calls.Load(), c.calls)
			})
		})
	}
}
