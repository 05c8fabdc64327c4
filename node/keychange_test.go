package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
)

// configApplyTime is the platform's config_apply_ms: within it, each node must use a configuration.
const configApplyTime = 4 * time.Second

// storeLink is the store as one node reaches it.
type storeLink struct {
	store.Store
	// refuses fails calls at once, and silent fails them after the time-out of the adapter. loses makes the next feed say that the history is
	// lost; from then on calls are refused.
	refuses, silent, loses atomic.Bool
}

func (l *storeLink) fail(ctx context.Context, timeout time.Duration) error {
	switch {
	case l.silent.Load():
		wait.For(ctx, timeout)
		return store.ErrUnavailable
	case l.refuses.Load():
		return store.ErrUnavailable
	}
	return nil
}

func (l *storeLink) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	if err := l.fail(ctx, wait+700*time.Millisecond); err != nil {
		return store.Page{}, err
	}
	page, err := l.Store.Feed(ctx, table, after, wait)
	if l.loses.CompareAndSwap(true, false) {
		l.refuses.Store(true)
		return store.Page{}, store.ErrHistoryDropped
	}
	if failed := l.fail(ctx, 0); failed != nil {
		// The response does not arrive.
		return store.Page{}, failed
	}
	return page, err
}

func (l *storeLink) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if err := l.fail(ctx, 1500*time.Millisecond); err != nil {
		return store.Page{}, err
	}
	return l.Store.Range(ctx, table, part, from, to, limit)
}

// keyCluster is nodes that follow the operators' rows of one store, each by a link of its own.
type keyCluster struct {
	t     *testing.T
	store *emulator.Store
	nodes []*Node
	links []*storeLink

	mu    sync.Mutex // guards the fields below
	gone  map[string]bool
	relay string
}

func newKeyCluster(t *testing.T, nodes int) *keyCluster {
	t.Helper()
	c := &keyCluster{t: t, store: emulator.NewStore(), gone: map[string]bool{}}
	c.setKey(1, "old")
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for i := range nodes {
		n, _ := testNode(t, 1)
		n.catalog.Store(nil)
		name, link := fmt.Sprintf("n%d", i), &storeLink{Store: c.store}
		relayed := &relayedStore{Store: link, log: observe.NewLogger(io.Discard, "test", name), relay: c.relayAddr,
			peers: func() []string { return c.others(name) }, call: c.call}
		n.operator = store.NewFollower(relayed, platform.TableOperator, n.operatorChanged, func(error) {})
		c.nodes, c.links = append(c.nodes, n), append(c.links, link)
	}
	for _, n := range c.nodes {
		running.Go(func() { n.operator.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	c.assertKey("old")
	return c
}

func (c *keyCluster) relayAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
}

func (c *keyCluster) setRelay(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = addr
}

func (c *keyCluster) setGone(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[name] = true
}

func (c *keyCluster) others(self string) []string {
	var others []string
	for i := range c.nodes {
		if name := fmt.Sprintf("n%d", i); name != self {
			others = append(others, name)
		}
	}
	return others
}

func (c *keyCluster) call(ctx context.Context, addr string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error) {
	c.mu.Lock()
	gone := c.gone[addr]
	c.mu.Unlock()
	i := slices.IndexFunc(c.nodes, func(n *Node) bool { return addr == fmt.Sprintf("n%d", slices.Index(c.nodes, n)) })
	if gone || i < 0 {
		wait.For(ctx, peerConnectTimeout)
		return nil, errors.New("no route")
	}
	return (&relayService{node: c.nodes[i]}).Changes(ctx, req)
}

// setKey writes a configuration with one organisation, which has one key.
func (c *keyCluster) setKey(version int, key string) {
	c.store.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, configWithKey(version, key))
}

func configWithKey(version int, key string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q","host":"h","path_prefix":"/","service":"s"}],"tenants":[{"name":"kioscos","api_keys":[%q]}]}`,
		version, key)
}

// assertKey checks that all nodes accept one key only.
func (c *keyCluster) assertKey(want string) {
	c.t.Helper()
	for i, n := range c.nodes {
		for _, key := range []string{"old", "new", "newer"} {
			_, ok := n.Catalog().OrganisationOf(key)
			assert.Equal(c.t, ok, key == want, "node %d, key %s", i, key)
		}
	}
}

// A removed key is refused by each node in time, and stays refused, although the store has dropped its history and serves reads that are
// seconds old.
func TestRemovedKeyAfterLostHistory(t *testing.T) {
	for _, lostBefore := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newKeyCluster(t, 3)
			if lostBefore {
				c.store.DropHistory()
			}
			c.setKey(2, "new")
			c.store.DropHistory()
			time.Sleep(configApplyTime)
			c.assertKey("new")
			c.store.SetReadsBehind(3 * time.Second)
			for range 10 {
				c.store.DropHistory()
				time.Sleep(700 * time.Millisecond)
				c.assertKey("new")
			}
		})
	}
}

// A removed key is refused in time by a node that the store refuses, or to which it does not respond, while other nodes reach it. Such a node
// served the old key until the store responded to it again, because it asked other nodes only if it had a relay.
func TestRemovedKeyAtNodeThatTheStoreRefuses(t *testing.T) {
	for name, fault := range map[string]struct {
		nodes int
		cut   func(l *storeLink)
	}{
		"refused": {26, func(l *storeLink) { l.refuses.Store(true) }},
		"silent":  {10, func(l *storeLink) { l.silent.Store(true) }},
	} {
		for _, delay := range []time.Duration{0, 700 * time.Millisecond, 30 * time.Second} {
			t.Run(fmt.Sprintf("%s for %v", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newKeyCluster(t, fault.nodes)
					// Those that are asked first don't reach the store either or are gone; only the last one does.
					for _, link := range c.links[:fault.nodes-1] {
						fault.cut(link)
					}
					c.setGone("n2")
					time.Sleep(delay)
					c.setKey(2, "new")
					time.Sleep(configApplyTime)
					c.assertKey("new")
					c.setKey(3, "newer")
					time.Sleep(configApplyTime)
					c.assertKey("newer")
				})
			})
		}
	}
}

// The history that a node needs may be lost while the store refuses it.
func TestRemovedKeyAtRefusedNodeAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newKeyCluster(t, 3)
		c.links[0].refuses.Store(true)
		time.Sleep(2 * time.Second)
		c.store.DropHistory()
		c.setKey(2, "new")
		c.store.DropHistory()
		time.Sleep(configApplyTime)
		c.assertKey("new")
	})
	synctest.Test(t, func(t *testing.T) {
		c := newKeyCluster(t, 3)
		// The node learns of the loss, and can't read the table afterwards.
		c.links[0].loses.Store(true)
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.links[0].refuses.Load())
		c.setKey(2, "new")
		time.Sleep(configApplyTime)
		c.assertKey("new")
	})
}

// A node whose relay works needs no store of its own, and one whose relay is cut off from the store asks others.
func TestRemovedKeyWithRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newKeyCluster(t, 4)
		c.setRelay("n1")
		time.Sleep(3 * time.Second)
		c.links[0].refuses.Store(true)
		time.Sleep(10 * time.Second)
		c.setKey(2, "new")
		time.Sleep(configApplyTime)
		c.assertKey("new")
		c.links[1].refuses.Store(true)
		c.setKey(3, "newer")
		time.Sleep(configApplyTime)
		c.assertKey("newer")
	})
}

// An older configuration that arrives later, in a row of its own version or in a newer row, is not used.
func TestOlderConfigurationIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newKeyCluster(t, 2)
		c.setKey(2, "new")
		time.Sleep(configApplyTime)
		c.assertKey("new")
		older := store.Row{Key: store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, Value: configWithKey(1, "old"), Version: 1}
		for _, n := range c.nodes {
			assert.Assert(t, !n.operator.Apply(store.Page{Rows: []store.Row{older}, Version: 1}))
			n.operatorChanged([]store.Row{older})
		}
		c.assertKey("new")
		c.setKey(1, "old")
		time.Sleep(configApplyTime)
		c.assertKey("new")
		c.store.Delete(older.Key)
		time.Sleep(configApplyTime)
		c.assertKey("new")
	})
}
