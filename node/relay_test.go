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
	h := &relayHarness{store: emulator.NewStore()}
	ignore := func(error) {}
	h.relay = store.NewFollower(h.store, platform.TableOperator, func([]store.Row) {}, ignore)
	h.relayed = &relayedStore{Store: h.store, log: observe.NewLogger(io.Discard, "test", "node"),
		relay: func() string { return "relay" }, peers: func() []string { return nil }, call: h.call}
	h.node = store.NewFollower(h.relayed, platform.TableOperator, func(rows []store.Row) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, row := range rows {
			h.received = append(h.received, string(row.Value))
		}
	}, ignore)
	return h
}

func (h *relayHarness) call(ctx context.Context, _ string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error) {
	h.mu.Lock()
	h.calls++
	down := h.down
	h.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	return (&relayService{node: &Node{operator: h.relay}}).Changes(ctx, req)
}

func (h *relayHarness) put(value string) {
	h.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, []byte(value))
}

// run runs a scenario while both followers run.
func (h *relayHarness) run(t *testing.T, scenario func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, f := range []*store.Follower{h.relay, h.node} {
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

func (h *relayHarness) lastReceived() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[len(h.received)-1]
}

func (h *relayHarness) callCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

func (h *relayHarness) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// A relay passes on changes of the configuration without delay, and deletions too.
func TestRelayPassesChangesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRelayHarness()
		h.put("v1")
		h.run(t, func() {
			for _, v := range []string{"v2", "v3"} {
				h.put(v)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, h.lastReceived(), v)
			}
			h.store.Delete(store.Key{Table: platform.TableOperator, Name: platform.RowConfig})
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, h.lastReceived(), "")
			assert.Assert(t, h.callCount() > 3)
		})
		assert.Assert(t, h.relayed.directUntil.IsZero())
	})
}

// A node whose relay is down reads new configurations from the store.
func TestNodeReadsTheStoreWhenItsRelayIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRelayHarness()
		h.put("v1")
		h.run(t, func() {
			h.setDown(true)
			time.Sleep(2 * time.Second)
			h.put("v2")
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, h.lastReceived(), "v2")
			h.setDown(false)
			time.Sleep(relayBackoff + feedTime)
			calls := h.callCount()
			time.Sleep(2 * feedTime)
			assert.Assert(t, h.callCount() > calls, "the relay is not used again")
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

// A node does not follow a relay that can't read the store: configurations must be active within 2.5 s.
func TestRelayThatIsCutOffIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRelayHarness()
		cut := &cutStore{Store: h.store}
		h.relay = store.NewFollower(cut, platform.TableOperator, func([]store.Row) {}, func(error) {})
		h.put("v1")
		h.run(t, func() {
			cut.cut.Store(true)
			time.Sleep(time.Second)
			h.put("v2")
			time.Sleep(2500 * time.Millisecond)
			assert.Equal(t, h.lastReceived(), "v2")
		})
	})
}
