package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/innerproto/innerprotoconnect"
	"github.com/currantthread/currantthread/store"
)

const (
	// relaySlack is added to the time that a relay may wait for a change. It covers a round trip within a region and the
	// transfer of a large row.
	relaySlack = 600 * time.Millisecond
	// relayMaxAge is the greatest age of a relay's last read of the table that is accepted, and relayWait is how long a
	// relay may hold a call open. A relay that can reach the store reads it at least every 1.5 s. Together they leave
	// time for a direct read when the relay is cut off: a configuration must be active 2.5 s after its acknowledgement.
	relayMaxAge = 1800 * time.Millisecond
	relayWait   = 500 * time.Millisecond
	// relayBackoff is how long a node reads the store directly after a call to a relay failed.
	relayBackoff = 5 * time.Second
)

const (
	// refusedRetry is how long a node asks other nodes before it reads the store again, after the store did not respond to it.
	refusedRetry = 5 * time.Second
	// peerMaxAge replaces relayMaxAge for nodes that are asked in place of the store. They may have the rows from a relay, which adds its
	// relayWait and a round trip to the age of its read.
	peerMaxAge = 2400 * time.Millisecond
	// askedPeers and askTime bound the nodes that are asked after one failed read of the store. A read that fails after 2.2 s and one peer
	// that does not answer in relayWait + relaySlack leave time to have a configuration from the next one within 4 s.
	askedPeers = 12
	askTime    = 1200 * time.Millisecond
	// askPause is the pause after none of them could answer, for example because the store responds to nobody.
	askPause = 1 * time.Second
)

// relayedStore is the platform's store, except that it reads the feed of operators' rows from a relay, a node of the same
// region, if there is one. If each of 20 nodes read a configuration of 250 KB itself, the link between regions would be
// full for most of a second. While the store does not respond to this node, it reads them from any node to which the store does.
// It is used by one goroutine.
type relayedStore struct {
	store.Store
	// relay returns the address of the relay, or "" if there is none and the store must be read directly.
	relay func() string
	// peers returns the addresses of other nodes, the preferred ones first.
	peers func() []string
	call  func(ctx context.Context, addr string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error)
	log   *logrus.Entry
	// directUntil is when a relay is used again after a failure.
	directUntil time.Time
	// refusedUntil is when the store is read again after a failure, and askAfter when peers may be asked.
	refusedUntil, askAfter time.Time
	// peer is the node that answered last while the store did not respond to this one; empty if it does.
	peer string
	// asked counts the peers that could not answer, of which others are asked the next time.
	asked int
}

// Feed implements store.Store. A relay returns the current rows instead of each change.
func (r *relayedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	addr := ""
	if !time.Now().Before(r.directUntil) {
		addr = r.relay()
	}
	if addr != "" {
		page, fields := r.ask(ctx, addr, table, after, relayMaxAge, relayWait)
		if fields == nil {
			return page, nil
		}
		r.directUntil = time.Now().Add(relayBackoff)
		r.log.WithFields(fields).WithField("relay", addr).Warn("relay of operators' rows failed or is stale; reading the store directly")
	}
	err := store.ErrUnavailable
	if !time.Now().Before(r.refusedUntil) {
		var page store.Page
		page, err = r.Store.Feed(ctx, table, after, wait)
		if err == nil || errors.Is(err, store.ErrHistoryDropped) {
			r.setPeer("")
			return page, err
		}
	}
	if page, ok := r.askPeers(ctx, table, after); ok {
		return page, nil
	}
	return store.Page{}, err
}

// Range implements store.Store. It fails at once while other nodes are asked in place of the store.
func (r *relayedStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if time.Now().Before(r.refusedUntil) {
		return store.Page{}, store.ErrUnavailable
	}
	return r.Store.Range(ctx, table, part, from, to, limit)
}

// ask reads the rows from a node, which may wait for a change. If it can't answer, or read the table too long ago, ask returns the reason as fields for a log line.
func (r *relayedStore) ask(ctx context.Context, addr, table string, after int64, maxAge, wait time.Duration) (store.Page, logrus.Fields) {
	callCtx, cancel := context.WithTimeout(ctx, relayWait+relaySlack)
	defer cancel()
	res, err := r.call(callCtx, addr, &innerproto.ChangesRequest{After: after, WaitMs: wait.Milliseconds()})
	switch {
	case err != nil:
		return store.Page{}, logrus.Fields{"error": err.Error()}
	case res.Version < after || res.AgeMs < 0 || res.AgeMs > maxAge.Milliseconds():
		return store.Page{}, logrus.Fields{"age_ms": res.AgeMs, "version": res.Version, "known": after}
	}
	return relayedPage(table, res), nil
}

// askPeers reads the rows from another node, first from the one that answered last.
func (r *relayedStore) askPeers(ctx context.Context, table string, after int64) (store.Page, bool) {
	if time.Now().Before(r.askAfter) {
		return store.Page{}, false
	}
	began := time.Now()
	for _, addr := range r.nextPeers() {
		if time.Since(began) > askTime {
			break
		}
		wait := time.Duration(0)
		if addr == r.peer {
			wait = relayWait
		}
		if page, fields := r.ask(ctx, addr, table, after, peerMaxAge, wait); fields == nil {
			if !time.Now().Before(r.refusedUntil) {
				r.refusedUntil = time.Now().Add(refusedRetry)
			}
			r.setPeer(addr)
			return page, true
		}
		r.asked++
	}
	r.setPeer("")
	r.refusedUntil, r.askAfter = time.Time{}, time.Now().Add(askPause)
	return store.Page{}, false
}

// nextPeers returns the nodes to ask: the one that answered last, and others, which change after each failure.
func (r *relayedStore) nextPeers() []string {
	peers := slices.DeleteFunc(r.peers(), func(addr string) bool { return addr == r.peer })
	if len(peers) > 0 {
		first := r.asked % len(peers)
		peers = slices.Concat(peers[first:], peers[:first])
	}
	if r.peer != "" {
		peers = slices.Insert(peers, 0, r.peer)
	}
	return peers[:min(len(peers), askedPeers)]
}

// setPeer records the node that answers in place of the store.
func (r *relayedStore) setPeer(addr string) {
	if addr != r.peer {
		r.log.WithFields(logrus.Fields{"peer": addr, "before": r.peer}).Info("source of operators' rows changed")
	}
	r.peer = addr
}

func relayedPage(table string, res *innerproto.ChangesResponse) store.Page {
	page := store.Page{Version: res.Version, Age: time.Duration(res.AgeMs) * time.Millisecond}
	for _, row := range res.Rows {
		page.Rows = append(page.Rows, store.Row{Key: store.Key{Table: table, Name: row.Key}, Value: row.Value,
			Version: row.Version, Deleted: row.Deleted})
	}
	return page
}

// relayAddr returns the address of the node that relays operators' rows to this one, or "".
func (n *Node) relayAddr() string { return n.directory.Relay(time.Now()) }

func (n *Node) callRelay(ctx context.Context, addr string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error) {
	return innerprotoconnect.NewRelayServiceClient(n.peers.http, "http://"+addr).Changes(ctx, req)
}

// relayService serves operators' rows to the other nodes of the region.
type relayService struct{ node *Node }

// Changes implements innerprotoconnect.RelayServiceHandler.
func (s *relayService) Changes(ctx context.Context, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error) {
	timeout := time.Duration(min(max(req.WaitMs, 0), relayWait.Milliseconds())) * time.Millisecond
	page, age, known := s.node.operator.Changes(ctx, req.After, timeout)
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errNoResponse)
	}
	res := &innerproto.ChangesResponse{Version: page.Version, AgeMs: age.Milliseconds()}
	for _, row := range page.Rows {
		res.Rows = append(res.Rows, &innerproto.RelayedRow{Key: row.Key.Name, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return res, nil
}
