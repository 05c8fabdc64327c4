package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/currantthread/currantthread/cell"
	"github.com/currantthread/currantthread/innerproto"
)

// maxParkedTasks is the maximum number of parked tasks of one cell in a status response.
const maxParkedTasks = 100

// cellService serves the inner messages about cells.
type cellService struct {
	node *cell.Node
}

// Handover implements innerprotoconnect.CellServiceHandler.
func (s *cellService) Handover(_ context.Context, req *innerproto.HandoverRequest) (*innerproto.HandoverResponse, error) {
	s.node.CheckOwnership(req.Cell)
	return &innerproto.HandoverResponse{}, nil
}

// Poke implements innerprotoconnect.CellServiceHandler.
func (s *cellService) Poke(_ context.Context, req *innerproto.PokeRequest) (*innerproto.PokeResponse, error) {
	s.node.WakeScans(req.Domains)
	return &innerproto.PokeResponse{}, nil
}

func describe(vm, domain string, cells map[string]cell.Status) *innerproto.StatusResponse {
	status := &innerproto.StatusResponse{Vm: vm, Daemon: name, Domain: domain}
	for _, id := range slices.Sorted(maps.Keys(cells)) {
		if c := cells[id]; c.Owned {
			status.Cells = append(status.Cells, describeCell(id, c))
		}
	}
	return status
}

func describeCell(id string, c cell.Status) *innerproto.CellStatus {
	out := &innerproto.CellStatus{
		Cell: id, Epoch: c.Epoch, Workers: int64(c.Workers), Running: int64(c.Running), Queued: int64(c.Queued),
		Parked: int64(len(c.Parked)), DomainVersion: c.DomainVersion, StartsAllowed: c.StartsAllowed,
	}
	slices.SortFunc(c.Parked, func(a, b cell.ParkedTask) int { return strings.Compare(a.Task, b.Task) })
	for _, p := range c.Parked[:min(len(c.Parked), maxParkedTasks)] {
		out.ParkedTasks = append(out.ParkedTasks, &innerproto.ParkedTask{Task: p.Task, Reason: p.Reason})
	}
	return out
}
