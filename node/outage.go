package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
)

const (
	// witnessCount is the number of witnesses of a cell. One confirmation is enough for an owner, while a successor needs a denial of
	// each.
	witnessCount = 2
	// outageAfter is how long this node has had no response from the store when it confirms an outage. A store that is 90 times slower
	// than usual responds within 1.4 s, and heartbeats follow each other within 0.8 s.
	outageAfter = 2 * time.Second
	// confirmTimeout and denyTimeout bound one request to a witness.
	confirmTimeout = 700 * time.Millisecond
	// partitionTimeout bounds the commit by which a witness checks the partition of a cell, within confirmTimeout.
	partitionTimeout = 500 * time.Millisecond
	denyTimeout      = 1 * time.Second
	// denyRetry is the pause before a witness that did not respond is asked again, until denyPatience after the acquisition: by then the
	// longest leases have ended.
	denyRetry    = 300 * time.Millisecond
	denyPatience = 10 * time.Second
)

// outageWitness is what a process has promised to the owners of cells as a witness, by cell. A later process of the node does not know
// it, so requests name the process. It is safe for concurrent use.
type outageWitness struct {
	mu sync.Mutex // guards the fields below
	// respondedAt is when this node last had a response from the store, or when it started.
	respondedAt time.Time
	// confirmedAt is when an outage was last confirmed.
	confirmedAt map[string]time.Time
	// lowest is the lowest epoch to whose owner an outage may be confirmed.
	lowest map[string]int64
}

func newOutageWitness(now time.Time) outageWitness {
	return outageWitness{respondedAt: now, confirmedAt: map[string]time.Time{}, lowest: map[string]int64{}}
}

// recordResponse records that the store responded to this node.
func (w *outageWitness) recordResponse(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respondedAt = now
}

// recordStoreResult takes the result of a call of the store that has just returned.
func (n *Node) recordStoreResult(err error) {
	if err == nil {
		n.outages.recordResponse(time.Now())
	}
}

// confirm reports whether an outage is confirmed to the owner of a cell with the given epoch, and records it if so.
func (w *outageWitness) confirm(now time.Time, cell string, epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.respondedAt) >= outageAfter && w.confirmLocked(now, cell, epoch)
}

// confirmPartition is confirm for an outage of the cell's partition that this node has just seen.
func (w *outageWitness) confirmPartition(now time.Time, cell string, epoch int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmLocked(now, cell, epoch)
}

func (w *outageWitness) confirmLocked(now time.Time, cell string, epoch int64) bool {
	if epoch < w.lowest[cell] {
		return false
	}
	w.confirmedAt[cell], w.lowest[cell] = now, epoch
	return true
}

// deny makes confirm refuse owners of a cell with lower epochs. It reports whether an earlier confirmation may still matter.
func (w *outageWitness) deny(now time.Time, cell string, epoch int64) (confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lowest[cell] = max(w.lowest[cell], epoch)
	at, ok := w.confirmedAt[cell]
	return ok && now.Sub(at) < dispatch.ConfirmationMemory
}

// errOtherProcess means that another process of the node is asked.
var errOtherProcess = connect.NewError(connect.CodeFailedPrecondition, errors.New("the process that is asked has ended"))

// ConfirmOutage implements innerprotoconnect.JobServiceHandler.
func (s *jobService) ConfirmOutage(ctx context.Context, req *innerproto.ConfirmOutageRequest) (*innerproto.ConfirmOutageResponse, error) {
	n := s.node
	switch {
	case req.Incarnation != n.incarnation:
		return nil, errOtherProcess
	case !n.isCell(req.Cell):
		return &innerproto.ConfirmOutageResponse{}, nil
	}
	confirmed := n.outages.confirm(time.Now(), req.Cell, req.Epoch) ||
		n.isPartitionAway(ctx, req.Cell) && n.outages.confirmPartition(time.Now(), req.Cell, req.Epoch)
	return &innerproto.ConfirmOutageResponse{Confirmed: confirmed}, nil
}

// isPartitionAway reports whether the store takes no commits of a cell from this node, while it may respond about other partitions. Nobody
// can acquire the cell then.
func (n *Node) isPartitionAway(ctx context.Context, cell string) bool {
	ctx, cancel := context.WithTimeout(ctx, partitionTimeout)
	defer cancel()
	// The row exists, so the condition does not hold and nothing is written.
	_, err := n.store.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: dispatch.OwnerKey(n.cellPart(cell))}}})
	var conflict *store.ConflictError
	return err != nil && !errors.As(err, &conflict) && !errors.Is(err, store.ErrInvalidTxn)
}

// DenyOutage implements innerprotoconnect.JobServiceHandler.
func (s *jobService) DenyOutage(_ context.Context, req *innerproto.DenyOutageRequest) (*innerproto.DenyOutageResponse, error) {
	n := s.node
	switch {
	case req.Incarnation != n.incarnation:
		return nil, errOtherProcess
	case !n.isCell(req.Cell):
		// No promise can be kept for it.
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the cell is not known"))
	}
	return &innerproto.DenyOutageResponse{Confirmed: n.outages.deny(time.Now(), req.Cell, req.Epoch)}, nil
}

// chooseWitnesses returns the witnesses of a cell of this node: those that it has and that are still alive, then the best candidates for
// the cell, of which one is the likely successor.
func (n *Node) chooseWitnesses(now time.Time, cell string) []dispatch.Witness {
	var alive []dispatch.Witness
	for _, c := range n.directory.Candidates(now, cell) {
		if c.Node != n.settings.Node && c.Witness {
			alive = append(alive, dispatch.Witness{Node: c.Node, Addr: c.Addr, Incarnation: c.Incarnation})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	chosen := slices.DeleteFunc(slices.Clone(n.witnesses[cell]), func(w dispatch.Witness) bool { return !slices.Contains(alive, w) })
	for _, w := range alive {
		if len(chosen) < witnessCount && !slices.Contains(chosen, w) {
			chosen = append(chosen, w)
		}
	}
	n.witnesses[cell] = chosen
	return chosen
}

// updateWitnesses passes the witnesses of this node's cells to them. It is called after each read of the heartbeats.
func (n *Node) updateWitnesses() {
	n.mu.Lock()
	cells := make(map[string]*dispatch.Cell, len(n.cells))
	for name, c := range n.cells {
		cells[name] = c
	}
	n.mu.Unlock()
	for name, c := range cells {
		c.SetWitnesses(n.chooseWitnesses(time.Now(), name))
	}
}

// askForConfirmation implements dispatch.Config.ConfirmOutage.
func (n *Node) askForConfirmation(ctx context.Context, w dispatch.Witness, cell string, epoch int64) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res, err := n.peers.client(w.Addr).ConfirmOutage(ctx, &innerproto.ConfirmOutageRequest{Cell: cell, Epoch: epoch, Incarnation: w.Incarnation})
	return err == nil && res.Confirmed
}

// denyOutage asks the witnesses of the previous owner of a cell, which this node has acquired with the given epoch, to confirm no outage
// to it. The result is closed once all have promised so and none has confirmed one before.
func (n *Node) denyOutage(ctx context.Context, cell string, epoch int64, previous dispatch.Ownership) <-chan struct{} {
	denied := make(chan struct{})
	witnesses, ok := previous.WitnessesToAsk()
	if !ok {
		return denied
	}
	ctx, cancel := context.WithTimeout(ctx, denyPatience)
	var requests sync.WaitGroup
	var mu sync.Mutex // guards promised
	promised := 0
	for _, w := range witnesses {
		requests.Go(func() {
			if n.denyOf(ctx, w, cell, epoch) {
				mu.Lock()
				promised++
				mu.Unlock()
			} else {
				cancel()
			}
		})
	}
	go func() {
		requests.Wait()
		cancel()
		if promised == len(witnesses) {
			close(denied)
		}
	}()
	return denied
}

// denyOf asks one witness until it responds, another process responds at its address, or ctx ends. It reports whether the witness has confirmed
// no outage and will confirm none.
func (n *Node) denyOf(ctx context.Context, w dispatch.Witness, cell string, epoch int64) bool {
	for {
		res, err := n.requestDenial(ctx, w, cell, epoch)
		switch {
		case err == nil && !res.Confirmed:
			return true
		case err == nil || connect.CodeOf(err) == connect.CodeFailedPrecondition:
			n.log.WithFields(logrus.Fields{"cell": cell, "witness": w.Node, "confirmed": err == nil}).Info("a witness of the previous owner does not rule out longer leases")
			return false
		}
		if !wait.For(ctx, denyRetry) {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				n.log.WithFields(logrus.Fields{"cell": cell, "witness": w.Node}).WithError(err).Info("a witness of the previous owner does not respond")
			}
			return false
		}
	}
}

func (n *Node) requestDenial(ctx context.Context, w dispatch.Witness, cell string, epoch int64) (*innerproto.DenyOutageResponse, error) {
	req := &innerproto.DenyOutageRequest{Cell: cell, Epoch: epoch, Incarnation: w.Incarnation}
	if w.Node == n.settings.Node {
		return (&jobService{node: n}).DenyOutage(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, denyTimeout)
	defer cancel()
	return n.peers.client(w.Addr).DenyOutage(ctx, req)
}
