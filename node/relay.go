package node

import (
	"context"
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

// relayedStore is the platform's store, except that it reads the feed of operators' rows from a relay, a node of the same
// region, if there is one. If each of 20 nodes read a configuration of 250 KB itself, the link between regions would be
// full for most of a second. It is used by one goroutine.
type relayedStore struct {
	store.Store
	// relay returns the address of the relay, or "" if there is none and the store must be read directly.
	relay func() string
	call  func(ctx context.Context, addr string, req *innerproto.ChangesRequest) (*innerproto.ChangesResponse, error)
	log   *logrus.Entry
	// directUntil is when a relay is used again after a failure.
	directUntil time.Time
}

// Feed implements store.Store. A relay returns the current rows instead of each change.
func (r *relayedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	addr := ""
	if !time.Now().Before(r.directUntil) {
		addr = r.relay()
	}
	if addr == "" {
		return r.Store.Feed(ctx, table, after, wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, relayWait+relaySlack)
	defer cancel()
	res, err := r.call(callCtx, addr, &innerproto.ChangesRequest{After: after, WaitMs: relayWait.Milliseconds()})
	if err == nil && res.Version >= after && res.AgeMs >= 0 && res.AgeMs <= relayMaxAge.Milliseconds() {
		return relayedPage(table, res), nil
	}
	r.directUntil = time.Now().Add(relayBackoff)
	entry := r.log.WithField("relay", addr)
	if err != nil {
		entry = entry.WithError(err)
	} else {
		entry = entry.WithFields(logrus.Fields{"age_ms": res.AgeMs, "version": res.Version, "known": after})
	}
	entry.Warn("relay of operators' rows failed or is stale; reading the store directly")
	return r.Store.Feed(ctx, table, after, wait)
}

func relayedPage(table string, res *innerproto.ChangesResponse) store.Page {
	page := store.Page{Version: res.Version}
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
