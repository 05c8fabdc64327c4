package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// teller delivers all requests to one node.
type teller struct{ node *Node }

// RoundTrip implements http.RoundTripper.
func (p teller) RoundTrip(req *http.Request) (*http.Response, error) {
	response := httptest.NewRecorder()
	p.node.innerHandler().ServeHTTP(response, req)
	return response.Result(), nil
}

// withPeer gives the site's node, which has just started, a peer that has written a heartbeat every 0.8 s for a time.
func withPeer(t *testing.T, s *leavingSite, since time.Duration) {
	t.Helper()
	peer, _ := testNode(t, 1)
	peer.versions = store.NewVersionClock(s.rows, func() time.Duration { return 0 })
	peer.store = peer.versions
	for began := time.Now(); time.Since(began) < since; time.Sleep(800 * time.Millisecond) {
		_, err := peer.store.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: store.Key{Table: "nodes", Name: "n1"}}}})
		assert.NilError(t, err)
	}
	s.node.peers.http = &http.Client{Transport: teller{peer}}
	s.node.directory.Update(time.Now(), []store.Row{{Key: store.Key{Name: "n1"}, Version: 1, Value: []byte(`{"node":"n1","addr":"n1","inc":"i1"}`)}})
}

// A node whose process restarts quickly takes its own cell over before any other node. It could not date the last write of the ownership row, and
// waited up to three seconds longer for unreachable runners.
func TestProcessThatHasJustStartedDatesTheOwnershipRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingSite(t, runnerHeartbeat)
		defer s.close()
		s.fleet.SetFault("i-1", emulator.RunnerUnreachable)
		s.rows.Put(dispatch.OwnerKey(s.node.cellPart(firstCell)), []byte(`{"node":"gone","nonce":"x"}`))
		written := time.Now()
		withPeer(t, s, 4*time.Second)
		s.take()
		time.Sleep(time.Until(written.Add(10*time.Second + 500*time.Millisecond)))
		assert.Equal(t, s.fleet.Running("i-2"), 0)
		time.Sleep(time.Until(written.Add(11500 * time.Millisecond)))
		assert.Equal(t, s.fleet.Running("i-2"), 3, s.log.String())
	})
}
