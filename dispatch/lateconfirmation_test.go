package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
)

// A confirmation that arrives after the commit that ended the outage says nothing about the time since then.
func TestConfirmationOfAnEarlierOutageIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		cfg := testConfig("n1", s, emulator.NewFleet(nil))
		cfg.ConfirmOutage = func(context.Context, Witness, int64) bool { return false }
		cfg.Witnesses = []Witness{{Node: "w", Addr: "w", Incarnation: "w"}}
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, cfg, largeRunner)
		time.Sleep(2 * time.Second)
		c.mu.Lock()
		version := c.ownerVersion
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		c.confirmOutage(cfg.Witnesses[0], version)
		c.mu.Lock()
		confirmed := c.outage.confirmed
		c.mu.Unlock()
		stop()
		<-c.Done()
		assert.Assert(t, !confirmed)
	})
}
