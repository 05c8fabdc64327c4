package node

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
)

// relayHarness is a store, a relay that follows it and a node that follows the relay.
type relayHarness struct {
	store *emulator.Store
	// relay follows the store, node follows the relay.
	relay, node *store.Follower
	relayed     *relayedStore

	mu       sync.Mutex // guards the fields below
	calls    int
	down     bool
	received []string // values of the configuration in the order in which the node received them
}

func newRelayHarness() *relayHarness {
	w := &relayHarness{store: emulator.NewStore()}
	ignore := func(error) {}
	w.relay = store.NewFollower(w.store, platform.TableOperator, func([]store.Row) {}, ignore)
	w.relayed = &relayedStore{Store: w.store, log: observe.NewLogger(io.Discard, "test", "node"),
		relay: func() string { return "relay" }, call: w.call}
	w.node = store.NewFollower(w.relayed, platform.TableOperator, func(rows []store.Row) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, row := range rows {
			w.received = append(w.received, string(row.Value))
		}
	}, ignore)
	return w
}

func (w *relayHarness) call(ctx context.Context, _ string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error) {
	w.mu.Lock()
	w.calls++
	down := w.down
	w.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	return (&relayService{node: &Node{operator: w.relay}}).Changes(ctx, req)
}

func (w *relayHarness) put(value string) {
	w.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, []byte(value))
}

// run runs a scenario while both followers run.
func (w *relayHarness) run(t *testing.T, scenario func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, f := range []*store.Follower{w.relay, w.node} {
		go func() {
			f.Run(ctx)
			done <- struct{}{}
		}()
	}
	time.Sleep(time.Second)
	scenario()
	cancel()
	<-done
	<-done
}

func (w *relayHarness) lastSeen() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received[len(w.received)-1]
}

func (w *relayHarness) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *relayHarness) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Guards against a relay that delays changes of the configuration or does not pass on deletions.
func TestRelayPassesChangesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayHarness()
		w.put("v1")
		w.run(t, func() {
			for _, v := range []string{"v2", "v3"} {
				w.put(v)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, w.lastSeen(), v)
			}
			w.store.Delete(store.Key{Table: platform.TableOperator, Name: platform.RowConfig})
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, w.lastSeen(), "")
			assert.Assert(t, w.callCount() > 3)
		})
		assert.Assert(t, w.relayed.directUntil.IsZero())
	})
}

// Guards against a node that keeps an old configuration because its relay is down.
func TestNodeReadsTheStoreWhenItsRelayIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayHarness()
		w.put("v1")
		w.run(t, func() {
			w.setDown(true)
			time.Sleep(2 * time.Second)
			w.put("v2")
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, w.lastSeen(), "v2")
			w.setDown(false)
			time.Sleep(relayBackoff + feedTime)
			calls := w.callCount()
			time.Sleep(2 * feedTime)
			assert.Assert(t, w.callCount() > calls, "the relay is not used again")
		})
	})
}

// feedTime is longer than one call of the feed.
const feedTime = 2 * time.Second

// cutStore is a store that one node can't reach.
type cutStore struct {
	store.Store
	cut atomic.Bool
}

func (s *cutStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	if s.cut.Load() {
		time.Sleep(wait)
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Feed(ctx, table, after, wait)
}

// Guards against a node that follows a relay which can't read the store: configurations must be active within 2.5 s.
func TestRelayThatIsCutOffIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayHarness()
		cut := &cutStore{Store: w.store}
		w.relay = store.NewFollower(cut, platform.TableOperator, func([]store.Row) {}, func(error) {})
		w.put("v1")
		w.run(t, func() {
			cut.cut.Store(true)
			time.Sleep(time.Second)
			w.put("v2")
			time.Sleep(2500 * time.Millisecond)
			assert.Equal(t, w.lastSeen(), "v2")
		})
	})
}
