package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
)

// A new owner counted the leases of unreachable runners from its first read of the ownership row, a second or more after the row's last
// write, and tasks waited that much longer. It must still wait for all leases that the former owner may have extended after that write.
func TestWaitCountsFromTheLastWriteOfTheOwnershipRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingSite(t, runnerHeartbeat)
		defer s.close()
		s.fleet.SetFault("i-1", emulator.RunnerUnreachable)
		n := s.node
		s.rows.Put(dispatch.OwnerKey(n.cellPart(firstCell)), []byte(`{"node":"gone","nonce":"x"}`))
		written := time.Now()
		time.Sleep(300 * time.Millisecond)
		commitBefore(t, s)
		time.Sleep(1500 * time.Millisecond)
		_, _, err := n.readOwner(t.Context(), firstCell)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		s.take()
		time.Sleep(time.Until(written.Add(10*time.Second + 500*time.Millisecond)))
		assert.Equal(t, s.fleet.Running("i-2"), 0)
		time.Sleep(time.Until(written.Add(11 * time.Second)))
		assert.Equal(t, s.fleet.Running("i-2"), 3, s.log.String())
	})
}
