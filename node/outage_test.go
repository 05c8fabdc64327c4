package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/store"
)

// sharedLog is a log that several goroutines write to.
type sharedLog struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (l *sharedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// count returns the number of lines with a text.
func (l *sharedLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

const (
	lineLowered   = "leases of the previous owner end earlier"
	lineConfirmed = "an outage of the store is confirmed"
	lineRefused   = "does not rule out longer leases"
	lineSilent    = "a witness of the previous owner does not respond"
)

// acquiredWithLog is acquired for nodes that write to one log.
func acquiredWithLog(t *testing.T, nodes int) (c *heartbeatCluster, owner int, log *sharedLog) {
	t.Helper()
	log = &sharedLog{}
	c = newHeartbeatClusterOf(t, nodes, 1, func(_ int, n *Node) { n.log = observe.NewLogger(log, "node", n.settings.Node) })
	c.setCells()
	time.Sleep(15 * time.Second)
	owner = c.running()
	assert.Assert(t, owner >= 0)
	return c, owner, log
}

// witnesses returns the witnesses in the ownership row.
func (c *heartbeatCluster) witnesses() []dispatch.Witness {
	c.t.Helper()
	row, _, err := dispatch.ReadOwner(c.t.Context(), c.rows, c.nodes[0].cellPart(firstCell))
	assert.NilError(c.t, err)
	witnesses, ok := row.WitnessesToAsk()
	assert.Assert(c.t, ok, "the row has a cap of %d ms and the witnesses %v", row.LeaseCapMs, row.Witnesses)
	return witnesses
}

// lose lets a node be gone: it reaches nothing, and no node reaches it.
func (c *heartbeatCluster) lose(i int) {
	c.links[i].silent.Store(true)
	c.replaced.Store(c.nodes[i].innerAddr, (*Node)(nil))
	c.kill[i]()
}

// indexOf returns the index of the node with a name.
func (c *heartbeatCluster) indexOf(name string) int {
	for i, n := range c.nodes {
		if n.settings.Node == name {
			return i
		}
	}
	return -1
}

// The successor of an owner that is gone waited for the leases that the owner might have granted in an outage of the store.
func TestSuccessorLearnsThatNoOutageWasConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, log := acquiredWithLog(t, 4)
		defer c.stop()
		assert.Equal(t, len(c.witnesses()), witnessCount)
		c.lose(owner)
		time.Sleep(8 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0 && next != owner)
		assert.Equal(t, log.count(lineLowered), 1)
	})
}

// A witness that is gone may have confirmed an outage before.
func TestSuccessorAwaitsLongLeasesWithoutAWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, log := acquiredWithLog(t, 4)
		defer c.stop()
		witness := c.indexOf(c.witnesses()[1].Node)
		c.lose(owner)
		c.lose(witness)
		time.Sleep(18 * time.Second)
		assert.Assert(t, c.running() >= 0)
		assert.Equal(t, log.count(lineLowered), 0)
		assert.Equal(t, log.count(lineSilent), 1)
	})
}

// A process that has started since the last write of the owner does not know what the earlier process of its node has confirmed.
func TestSuccessorAwaitsLongLeasesIfAWitnessRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, log := acquiredWithLog(t, 4)
		defer c.stop()
		witness := c.indexOf(c.witnesses()[1].Node)
		c.lose(owner)
		restarted, _ := testNode(t, 1)
		restarted.incarnation = "restarted"
		c.replaced.Store(c.nodes[witness].innerAddr, restarted)
		time.Sleep(18 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0 && next != witness)
		assert.Equal(t, log.count(lineLowered), 0)
		assert.Equal(t, log.count(lineRefused), 1)
	})
}

// While the store is away for all nodes, a witness confirms it to the owner, and a successor of that owner waits for the leases that were
// extended because of it.
func TestOutageIsConfirmedByAWitness(t *testing.T) {
	// The outage begins at different times after a heartbeat, also between its write and the read after it.
	for _, phase := range []time.Duration{0, 2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, owner, log := acquiredWithLog(t, 4)
				defer c.stop()
				time.Sleep(phase)
				for _, link := range c.links {
					link.silent.Store(true)
				}
				time.Sleep(4500 * time.Millisecond)
				assert.Equal(t, log.count(lineConfirmed), 1)
				c.lose(owner)
				for i, link := range c.links {
					if i != owner {
						link.silent.Store(false)
					}
				}
				time.Sleep(10 * time.Second)
				next := c.running()
				assert.Assert(t, next >= 0 && next != owner)
				assert.Equal(t, log.count(lineLowered), 0)
				assert.Assert(t, log.count(lineRefused) > 0)
			})
		})
	}
}

// An owner that alone does not reach the store gets no confirmation, also if no other node takes its cell.
func TestOutageOfOneNodeIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, log := acquiredWithLog(t, 3)
		defer c.stop()
		for i, n := range c.nodes {
			if i != owner {
				n.leaving.Store(true)
			}
		}
		time.Sleep(500 * time.Millisecond)
		c.links[owner].silent.Store(true)
		time.Sleep(8 * time.Second)
		assert.Equal(t, log.count(lineConfirmed), 0)
	})
}

// A witness keeps its promises, and confirms only what it has seen itself.
func TestWitnessKeepsItsPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := testNode(t, 2)
		rows := emulator.NewStore()
		rows.Latency = 0
		n.store = rows
		s := &jobService{node: n}
		confirm := func(cell string, epoch int64) bool {
			res, err := s.ConfirmOutage(t.Context(), &innerproto.ConfirmOutageRequest{Cell: cell, Epoch: epoch, Incarnation: n.incarnation})
			assert.NilError(t, err)
			return res.Confirmed
		}
		deny := func(cell string, epoch int64) bool {
			res, err := s.DenyOutage(t.Context(), &innerproto.DenyOutageRequest{Cell: cell, Epoch: epoch, Incarnation: n.incarnation})
			assert.NilError(t, err)
			return res.Confirmed
		}
		assert.Assert(t, !confirm("c0", 5), "the node has just started")
		time.Sleep(outageAfter - time.Millisecond)
		assert.Assert(t, !confirm("c0", 5), "the store has responded a short time ago")
		time.Sleep(time.Millisecond)
		assert.Assert(t, confirm("c0", 5))
		assert.Assert(t, !confirm("c0", 4), "an owner with a higher epoch has asked")
		assert.Assert(t, !confirm("c9", 5), "no such cell")
		assert.Assert(t, deny("c0", 9), "an outage was confirmed")
		assert.Assert(t, !confirm("c0", 8), "an outage was denied")
		assert.Assert(t, confirm("c0", 9))
		// The leases that depend on a confirmation end in time.
		time.Sleep(dispatch.ConfirmationMemory)
		assert.Assert(t, !deny("c0", 12))
		assert.Assert(t, !deny("c1", 12))
		assert.Assert(t, !confirm("c1", 11))
		n.outages.recordResponse(time.Now())
		assert.Assert(t, !confirm("c1", 12), "the store has responded")
		_, err := s.ConfirmOutage(t.Context(), &innerproto.ConfirmOutageRequest{Cell: "c0", Epoch: 20, Incarnation: "other"})
		assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
		_, err = s.DenyOutage(t.Context(), &innerproto.DenyOutageRequest{Cell: "c0", Epoch: 20, Incarnation: "other"})
		assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
		_, err = s.DenyOutage(t.Context(), &innerproto.DenyOutageRequest{Cell: "c9", Epoch: 20, Incarnation: n.incarnation})
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	})
}

// Processes of earlier builds don't know the calls. An owner that names one as a witness would get no confirmation in an outage.
func TestProcessesOfEarlierBuildsAreNoWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := testNode(t, 1)
		n.directory.Update(time.Now(), nil)
		assert.Equal(t, len(n.chooseWitnesses(time.Now(), firstCell)), 0)
		rows := heartbeatRows(t, map[string]bool{"n1": false, "n2": true, "n0": true})
		assert.Equal(t, len(n.directory.Update(time.Now(), rows)), 0)
		assert.DeepEqual(t, n.chooseWitnesses(time.Now(), firstCell), []dispatch.Witness{{Node: "n2", Addr: "n2", Incarnation: "n2"}})
	})
}

// heartbeatRows returns heartbeats of nodes, by whether they are witnesses.
func heartbeatRows(t *testing.T, nodes map[string]bool) []store.Row {
	t.Helper()
	var rows []store.Row
	for name, witness := range nodes {
		value, err := json.Marshal(ownership.Heartbeat{Node: name, Addr: name, Incarnation: name, CPUShare: 1, LinkMbps: 200, Witness: witness})
		assert.NilError(t, err)
		rows = append(rows, store.Row{Key: ownership.HeartbeatKey(name), Version: 1, Value: value})
	}
	return rows
}
