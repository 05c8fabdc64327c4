package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/store"
)

// A process that has just started can't date the store's versions by its own calls, and may be the first to acquire the cell of its
// predecessor. It asks other nodes for what their calls have shown.

const (
	// markSpan is the age of the versions that a new owner dates. It is longer than any lease that an earlier owner can have granted.
	markSpan = 12 * time.Second
	// maxTellers is the number of nodes that are asked, and tellTimeout bounds the wait for their responses, which delays an acquisition.
	maxTellers  = 3
	tellTimeout = 250 * time.Millisecond
)

// learnMarks asks other nodes for marks of the version clock.
func (n *Node) learnMarks(ctx context.Context, cell string) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var calls sync.WaitGroup
	asked := 0
	for _, candidate := range n.directory.Candidates(time.Now(), cell) {
		if candidate.Node == n.settings.Node || asked == maxTellers {
			continue
		}
		asked++
		calls.Go(func() {
			err := n.versions.Learn(func() (store.Marks, error) {
				res, err := n.peers.client(candidate.Addr).VersionMarks(ctx, &innerproto.VersionMarksRequest{SpanMs: markSpan.Milliseconds()})
				if err != nil {
					return store.Marks{}, err
				}
				return store.Marks{Sent: fromWireMarks(res.Sent), Received: fromWireMarks(res.Received)}, nil
			})
			if err != nil {
				n.log.WithFields(logrus.Fields{"cell": cell, "node": candidate.Node, "error": err.Error()}).Info("could not ask a node when the store gave out versions")
			}
		})
	}
	calls.Wait()
}

// VersionMarks implements innerprotoconnect.JobServiceHandler.
func (s *jobService) VersionMarks(_ context.Context, req *innerproto.VersionMarksRequest) (*innerproto.VersionMarksResponse, error) {
	span := time.Duration(min(max(req.SpanMs, 0), markSpan.Milliseconds())) * time.Millisecond
	told := s.node.versions.Tell(span)
	return &innerproto.VersionMarksResponse{Sent: toWireMarks(told.Sent), Received: toWireMarks(told.Received)}, nil
}

func toWireMarks(marks []store.Mark) []*innerproto.VersionMark {
	wire := make([]*innerproto.VersionMark, len(marks))
	for i, m := range marks {
		wire[i] = &innerproto.VersionMark{Version: m.Version, AgeUs: m.Age.Microseconds()}
	}
	return wire
}

// fromWireMarks decodes marks. Those with an age that no mark can have are left out.
func fromWireMarks(wire []*innerproto.VersionMark) []store.Mark {
	var marks []store.Mark
	for _, m := range wire {
		if m.GetAgeUs() >= 0 && m.GetAgeUs() <= markSpan.Microseconds() {
			marks = append(marks, store.Mark{Version: m.GetVersion(), Age: time.Duration(m.GetAgeUs()) * time.Microsecond})
		}
	}
	return marks
}
