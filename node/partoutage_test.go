package node

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/store"
)

// partFaultStore refuses the commits that touch one partition, or all commits, while down is set.
type partFaultStore struct {
	store.Store
	part string
	all  bool
	down *atomic.Bool
}

func (s *partFaultStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	touched := s.all || slices.ContainsFunc(txn.Writes, func(w store.Write) bool { return w.Key.Part == s.part }) ||
		slices.ContainsFunc(txn.Conditions, func(c store.Condition) bool { return c.Key.Part == s.part })
	if touched && s.down.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

// The store may be unavailable in part. While no node can write to the partition of a cell, its owner has no successor, and the witnesses,
// whose heartbeats succeed, must not make it let its leases end.
func TestOutageOfTheCellsPartitionIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		log := &sharedLog{}
		c := newHeartbeatClusterOf(t, 4, 1, func(_ int, n *Node) {
			n.log = observe.NewLogger(log, "node", n.settings.Node)
			n.store = &partFaultStore{Store: n.store, part: n.cellPart(firstCell), down: &down}
		})
		c.setCells()
		time.Sleep(15 * time.Second)
		c.witnesses()
		down.Store(true)
		time.Sleep(5500 * time.Millisecond)
		confirmed := log.count(lineConfirmed)
		down.Store(false)
		time.Sleep(3 * time.Second)
		c.stop()
		assert.Equal(t, confirmed, 1, "leases end 6 s after the last commit")
	})
}

// While the store serves reads and refuses all writes, no owner has a successor, so the leases must not end early.
func TestOutageOfWritesIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		log := &sharedLog{}
		c := newHeartbeatClusterOf(t, 4, 1, func(_ int, n *Node) {
			n.log = observe.NewLogger(log, "node", n.settings.Node)
			n.store = &partFaultStore{Store: n.store, all: true, down: &down}
		})
		c.setCells()
		time.Sleep(15 * time.Second)
		c.witnesses()
		down.Store(true)
		time.Sleep(5500 * time.Millisecond)
		confirmed := log.count(lineConfirmed)
		down.Store(false)
		time.Sleep(3 * time.Second)
		c.stop()
		assert.Equal(t, confirmed, 1, "leases end 6 s after the last commit")
	})
}
