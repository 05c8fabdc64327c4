package clientlimit

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// recordedConn is a connection that records whether it was closed.
type recordedConn struct {
	net.Conn
	closed bool
}

func (c *recordedConn) Close() error {
	c.closed = true
	return nil
}

// A new connection must be admitted at the expense of the one that has been idle for longest, and of none that is in use: a peer could not tell whether
// its request has been executed.
func TestPeerConnectionsAreBounded(t *testing.T) {
	l := NewPeerLimiter(prometheus.NewRegistry(), "test")
	l.SetBudget(Budget{Connections: 3})
	conns := []*recordedConn{{}, {}, {}, {}, {}, {}}
	for _, c := range conns[:3] {
		assert.Assert(t, l.admit(c))
		l.ConnState(c, http.StateNew)
		l.ConnState(c, http.StateActive)
	}
	assert.Assert(t, !l.admit(conns[3]))
	assert.Assert(t, conns[3].closed)
	l.ConnState(conns[1], http.StateIdle)
	l.ConnState(conns[0], http.StateIdle)
	assert.Assert(t, l.admit(conns[4]))
	assert.Assert(t, conns[1].closed && !conns[0].closed)
	l.ConnState(conns[1], http.StateClosed)
	l.ConnState(conns[0], http.StateActive)
	assert.Assert(t, !l.admit(conns[5]))
	l.ConnState(conns[2], http.StateIdle)
	l.ConnState(conns[2], http.StateClosed)
	assert.Assert(t, l.admit(conns[5]))
	assert.Equal(t, len(l.open), 3)
	assert.Equal(t, l.idle.Len(), 0)
}

// Requests that are served at once must not hold more than the budget, however many nodes send them.
func TestRequestsOfPeersAreBounded(t *testing.T) {
	l := NewPeerLimiter(prometheus.NewRegistry(), "test")
	l.SetBudget(Budget{Bytes: 100})
	release, err := l.Charge(60)
	assert.NilError(t, err)
	_, err = l.Charge(60)
	assert.Assert(t, errors.Is(err, ErrBudget))
	release()
	_, err = l.Charge(60)
	assert.NilError(t, err)
}

// The settings of the smallest VM must leave descriptors for runners, the store and clients.
func TestPeerBudgetOfTheSmallestVM(t *testing.T) {
	assert.Equal(t, PeerBudgetOf(184, 4100), Budget{Bytes: BudgetOf(184, 4100).Bytes / 3, Connections: 1462})
}
