package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/store"
)

// slowStore delays each call.
type slowStore struct {
	store.Store
	delay atomic.Int64
}

func (s *slowStore) sleep(ctx context.Context) { wait.For(ctx, time.Duration(s.delay.Load())) }

func (s *slowStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	s.sleep(ctx)
	return s.Store.Commit(ctx, txn)
}

func (s *slowStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Range(ctx, table, part, from, to, limit)
}

func (s *slowStore) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Feed(ctx, table, after, timeout)
}

// While the store is slow, a new owner reads the jobs of a large cell for longer than the other nodes wait for it. They take
// the cell from each other before any of them has read it, and no node runs its tasks.
func TestCellIsReadByOneNodeWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 2000
		s := &slowStore{Store: emulator.NewStore()}
		rows := s.Store.(*emulator.Store)
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		nodes := make([]*Node, 3)
		for i := range nodes {
			n, _ := testNode(t, 0)
			settings := *n.settings
			settings.Node = fmt.Sprintf("n%d", i)
			n.settings, n.store, n.runners, n.incarnation = &settings, s, emulator.NewFleet(nil), settings.Node
			n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(s)
			nodes[i] = n
			loops.Go(func() { n.heartbeatLoop(ctx, ctx) })
		}
		time.Sleep(5 * time.Second)
		part := nodes[0].cellPart(firstCell)
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			rows.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id}, []byte(`{"id":"`+id+`","occ":1,"steps":[{"n":1}]}`))
		}
		rows.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x"}`))
		s.delay.Store(int64(time.Second))
		for _, n := range nodes {
			n.cellCount.Store(1)
		}
		takeovers, previous := 0, ""
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			owner, _, err := dispatch.ReadOwner(t.Context(), rows, part)
			assert.NilError(t, err)
			if owner.Node != previous && previous != "" {
				takeovers++
			}
			previous = owner.Node
		}
		s.delay.Store(0)
		cancel()
		// The cells are released.
		time.Sleep(15 * time.Second)
		assert.Assert(t, takeovers <= 1, "the owner changed %d times in 30 s", takeovers)
	})
}
