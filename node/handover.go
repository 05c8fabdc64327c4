package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
)

// The owner of a cell that does not reach the store can't release the cell. Other nodes would find out only once its heartbeats have
// stopped for some intervals. It therefore asks the best candidates to acquire the cell. That is an ordinary acquisition, which
// needs the store and fences the former owner, so nothing depends on the owner's judgement: if the store is away for all, nobody
// acquires the cell.

const (
	// maxOffers is the number of candidates that are asked at a time.
	maxOffers = 3
	// offerTimeout bounds one request: two calls of the store and reading the jobs of a cell.
	offerTimeout = 1500 * time.Millisecond
)

// cellOffer is a cell that its owner hands over.
type cellOffer struct {
	cell string
	// begun receives whether the acquisition has begun.
	begun chan bool
}

// handOver asks other nodes to acquire a cell of this node.
func (n *Node) handOver(cell string) {
	c := n.localCell(cell)
	if c == nil || n.leaving.Load() || n.reachesStore() {
		return
	}
	offered := 0
	for _, candidate := range n.directory.Candidates(time.Now(), cell) {
		if candidate.Node == n.settings.Node || offered == maxOffers || c.HasLostOwnership() {
			continue
		}
		offered++
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		res, err := n.peers.client(candidate.Addr).TakeCell(ctx, &innerproto.TakeCellRequest{Cell: cell})
		cancel()
		if err == nil && res.Acquired {
			n.log.WithFields(logrus.Fields{"cell": cell, "node": candidate.Node}).Info("handed the cell over, because the store does not respond to this node")
			c.Yield(candidate.Node)
			return
		}
	}
}

// storeCheckTimeout is the least time that the check of the store waits for a response.
const storeCheckTimeout = 700 * time.Millisecond

// reachesStore reports whether the store responds to this node for another partition than those of its cells, so that another owner
// would fare no better. A store that was slow before is given more time.
func (n *Node) reachesStore() bool {
	ctx, cancel := context.WithTimeout(context.Background(), max(storeCheckTimeout, 3*time.Duration(n.commitLatency.Load())))
	defer cancel()
	key := ownership.HeartbeatKey(n.settings.Node)
	_, err := n.store.Range(ctx, key.Table, key.Part, key.Name, "", 1)
	return err == nil
}

// storeProvedFor is for how long a node must have written its heartbeats in time to take a cell that its owner hands over. Otherwise the
// store was away for both, and the owner reaches it again, too.
const storeProvedFor = 2 * ownership.HeartbeatInterval

// takeOffered begins to acquire a cell that its owner hands over. It is called by the goroutine of heartbeatLoop.
func (n *Node) takeOffered(running context.Context, offer cellOffer) {
	proved := !n.storeSince.IsZero() && time.Since(n.storeSince) >= storeProvedFor
	begun := running.Err() == nil && proved && !n.leaving.Load() && n.isCell(offer.cell) && n.beginAcquire(offer.cell)
	if begun {
		n.log.WithField("cell", offer.cell).Info("acquiring a cell that its owner hands over")
		go n.acquire(running, offer.cell, true)
	}
	offer.begun <- begun
}

// acquirePoll is how often a request for a cell checks whether the cell is acquired.
const acquirePoll = 20 * time.Millisecond

// TakeCell implements innerprotoconnect.JobServiceHandler.
func (s *jobService) TakeCell(ctx context.Context, req *innerproto.TakeCellRequest) (*innerproto.TakeCellResponse, error) {
	n := s.node
	offer := cellOffer{cell: req.Cell, begun: make(chan bool, 1)}
	select {
	case n.offers <- offer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !<-offer.begun {
		return &innerproto.TakeCellResponse{Acquired: n.localCell(req.Cell) != nil}, nil
	}
	for wait.For(ctx, acquirePoll) {
		n.mu.Lock()
		acquired, acquiring := n.cells[req.Cell] != nil, n.acquiring[req.Cell]
		n.mu.Unlock()
		if acquired || !acquiring {
			return &innerproto.TakeCellResponse{Acquired: acquired}, nil
		}
	}
	return nil, ctx.Err()
}

// wakeHeartbeat makes the node write and read heartbeats at once.
func (n *Node) wakeHeartbeat() {
	select {
	case n.heartbeatWake <- struct{}{}:
	default:
	}
}
