package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/workload"
)

// cellPeers connects a cell of this node with the other cells. It implements dispatch.Peers.
type cellPeers struct {
	node *Node
	cell string
}

// errNoOwner means that no owner of a cell is known.
var errNoOwner = errors.New("the cell has no known owner")

// Hosts implements dispatch.Peers. It uses reported loads only, because cells call it while they are locked.
func (p *cellPeers) Hosts(step *workload.Step, service string) []dispatch.Host {
	var hosts []dispatch.Host
	for cell, owner := range p.node.directory.Owners(time.Now()) {
		if cell == p.cell {
			continue
		}
		now, longRunning := owner.Load.PlacesFor(step, service)
		hosts = append(hosts, dispatch.Host{Cell: cell, Places: now, LongRunningPlaces: longRunning})
	}
	return hosts
}

// Delegate implements dispatch.Peers.
func (p *cellPeers) Delegate(ctx context.Context, cell string, ds []*dispatch.Delegation) ([]dispatch.Outcome, error) {
	if c := p.node.localCell(cell); c != nil {
		return c.TakeOver(ctx, ds), nil
	}
	owner, ok := p.node.directory.Owners(time.Now())[cell]
	if !ok {
		return nil, errNoOwner
	}
	value, err := json.Marshal(ds)
	if err != nil {
		return nil, err
	}
	res, err := p.node.peers.client(owner.Addr).DelegateTasks(ctx, &innerproto.DelegateTasksRequest{Cell: cell, Delegations: value})
	if err != nil {
		return nil, err
	}
	if !res.Owner {
		return nil, errNoOwner
	}
	outcomes := make([]dispatch.Outcome, len(res.Outcomes))
	for i, outcome := range res.Outcomes {
		outcomes[i] = dispatch.Outcome(outcome)
	}
	return outcomes, nil
}

// CancelDelegated implements dispatch.Peers.
func (p *cellPeers) CancelDelegated(ctx context.Context, cell, jobID string) error {
	if c := p.node.localCell(cell); c != nil {
		_, err := c.Cancel(ctx, jobID)
		return err
	}
	owner, ok := p.node.directory.Owners(time.Now())[cell]
	if !ok {
		return errNoOwner
	}
	res, err := p.node.peers.client(owner.Addr).CancelJob(ctx, &innerproto.CancelJobRequest{Cell: cell, Job: jobID})
	if err == nil && !res.Done {
		return errNoOwner
	}
	return err
}

// Cells implements dispatch.Peers.
func (p *cellPeers) Cells() []string { return p.node.cellNames() }

// Part implements dispatch.Peers.
func (p *cellPeers) Part(cell string) string { return p.node.cellPart(cell) }

// DelegateTasks implements innerprotoconnect.JobServiceHandler.
func (s *jobService) DelegateTasks(ctx context.Context, req *innerproto.DelegateTasksRequest) (*innerproto.DelegateTasksResponse, error) {
	ds, err := s.node.decodeDelegations(req.Delegations)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	c := s.node.localCell(req.Cell)
	if c == nil {
		return &innerproto.DelegateTasksResponse{}, nil
	}
	res := &innerproto.DelegateTasksResponse{Owner: true}
	for _, outcome := range c.TakeOver(ctx, ds) {
		res.Outcomes = append(res.Outcomes, uint32(outcome))
	}
	return res, nil
}

// decodeDelegations decodes and checks the delegations of a request.
func (n *Node) decodeDelegations(value []byte) ([]*dispatch.Delegation, error) {
	var ds []*dispatch.Delegation
	if err := json.Unmarshal(value, &ds); err != nil {
		return nil, fmt.Errorf("delegations: %w", err)
	}
	for i, d := range ds {
		switch {
		case d == nil || d.Job == nil:
			return nil, fmt.Errorf("delegation %d names no job", i)
		case !n.isCell(d.Origin):
			return nil, fmt.Errorf("delegation %d: %.50q is no cell", i, d.Origin)
		}
		if err := d.Job.Validate(); err != nil {
			return nil, fmt.Errorf("delegation %d: %w", i, err)
		}
		d.Job.CompactDependencies()
	}
	return ds, nil
}
