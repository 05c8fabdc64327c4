package control

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

// driftMargin is added to the longest start permit before an unconfirmed out-command counts as active. It covers 1% clock
// drift over that permit plus 100 ms.
const driftMargin = 125 * time.Millisecond

const (
	// returnTimeout limits how long an in-command waits for the cells of the failure domain to apply it. They read the
	// domain row about every 500 ms.
	returnTimeout = 5 * time.Second
	returnPoll    = 100 * time.Millisecond
)

// DomainRequest is the body of an out-command or in-command.
type DomainRequest struct {
	State    ledger.DomainState `json:"state"`
	Operator string             `json:"operator"`
	Reason   string             `json:"reason"`
	// IfVersion, if set, is the expected version of the domain's row. The command fails with a conflict if it differs.
	IfVersion *int64 `json:"if_version,omitempty"`
}

// DomainStatus is the state of a failure domain in the operators' API.
type DomainStatus struct {
	Domain   string             `json:"domain"`
	State    ledger.DomainState `json:"state"`
	Operator string             `json:"operator,omitempty"`
	Reason   string             `json:"reason,omitempty"`
	// Version is the version of the domain's row; 0 if the domain never had a command.
	Version int64 `json:"version"`
	// Active reports whether the command is active: after an out-command no task starts in the domain, after an
	// in-command its cells may start tasks again.
	Active bool `json:"in_force"`
	// Confirmed and Unconfirmed list the entry VMs whose sched daemon did or did not confirm the command.
	Confirmed   []string `json:"confirmed,omitempty"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// Running is the number of tasks that still run in the domain, counted over the cells that responded.
	Running int64 `json:"running"`
}

// setDomain stores a command, announces it to the sched daemons of the domain and responds once it is active or, if it is
// not active yet, after a timeout. An out-command is active when all of them have confirmed it, or when the permits granted
// before it have expired. An in-command is active when the cells of the domain apply it.
func (a *API) setDomain(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	name := c.Param("name")
	var req DomainRequest
	if err := bind(c, &req); err != nil {
		return a.writeError(c, err)
	}
	if req.State != ledger.DomainIn && req.State != ledger.DomainOut {
		return a.writeError(c, &APIError{Code: "invalid", Message: `state: allowed are "in" and "out"`})
	}
	if !slices.Contains(a.domainNames(), name) {
		return a.writeError(c, &APIError{Code: "not-found", Message: "failure domain " + name + " is not in the VM list"})
	}
	version, err := a.storeDomain(ctx, name, req)
	if err != nil {
		return a.writeError(c, err)
	}
	stored := time.Now()
	a.cfg.Log.WithField("domain", name).WithField("state", req.State).Info("failure domain command stored")
	status := DomainStatus{Domain: name, State: req.State, Operator: req.Operator, Reason: req.Reason, Version: version}
	a.announce(ctx, &status)
	if req.State == ledger.DomainOut {
		a.awaitOut(ctx, &status, stored)
	} else {
		a.awaitIn(ctx, &status)
	}
	status.Running = countRunning(a.fetchStatuses(ctx, name, &innerproto.StatusRequest{}))
	return c.JSON(http.StatusOK, status)
}

// awaitOut returns when no more tasks can start: immediately if all sched daemons confirmed, otherwise when all start
// permits have expired.
func (a *API) awaitOut(ctx context.Context, status *DomainStatus, stored time.Time) {
	if len(status.Unconfirmed) > 0 {
		wait.For(ctx, time.Until(stored.Add(longestPermit()+driftMargin)))
	}
	status.Active = ctx.Err() == nil
}

// awaitIn returns when every cell of the domain that responds has applied the command, or after returnTimeout.
func (a *API) awaitIn(ctx context.Context, status *DomainStatus) {
	status.Confirmed, status.Unconfirmed = nil, nil
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	for ctx.Err() == nil && !status.Active {
		wait.For(ctx, returnPoll)
		status.Active = appliedByCells(a.fetchStatuses(ctx, status.Domain, &innerproto.StatusRequest{}), *status)
	}
}

// storeDomain writes the domain's row and returns its new version.
func (a *API) storeDomain(ctx context.Context, name string, req DomainRequest) (int64, error) {
	rows, err := a.cfg.Table.Read(ctx, ledger.DomainKey(name))
	if err != nil {
		return 0, err
	}
	if req.IfVersion != nil && *req.IfVersion != rows[0].Version {
		message := fmt.Sprintf("failure domain %s changed: its state has version %d, not %d", name, rows[0].Version, *req.IfVersion)
		return 0, &APIError{Code: "conflict", Message: message}
	}
	value := ledger.Encode(ledger.Domain{State: req.State, Operator: req.Operator, Reason: req.Reason})
	return a.cfg.Store.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
		Writes:     []infra.Write{{Key: rows[0].Key, Value: value}},
	})
}

// longestPermit returns the longest start permit that any settings allow, because a partitioned VM may have other active
// settings than this one.
func longestPermit() time.Duration { return settings.MaxStartPermit() }

// announce sends the command to all sched daemons of the domain and records which of them confirmed it.
func (a *API) announce(ctx context.Context, status *DomainStatus) {
	req := &innerproto.AnnounceDomainRequest{
		Domain: status.Domain, Out: status.State == ledger.DomainOut, Version: status.Version,
	}
	var mu sync.Mutex // guards the lists of status
	var group sync.WaitGroup
	for _, vm := range a.cfg.VMs() {
		if vm.Role != infra.RoleEntry || vm.Domain != status.Domain {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
			defer cancel()
			response, err := a.cfg.Dial(vm.SchedAddr).AnnounceDomain(ctx, req)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && response.InForce {
				status.Confirmed = append(status.Confirmed, vm.ID)
			} else {
				status.Unconfirmed = append(status.Unconfirmed, vm.ID)
			}
		})
	}
	group.Wait()
	slices.Sort(status.Confirmed)
	slices.Sort(status.Unconfirmed)
}

// domainNames returns the failure domains in the VM list in order.
func (a *API) domainNames() []string {
	names := map[string]bool{}
	for _, vm := range a.cfg.VMs() {
		names[vm.Domain] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (a *API) listDomains(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	statuses := []DomainStatus{}
	for _, name := range a.domainNames() {
		rows, err := a.cfg.Table.Read(ctx, ledger.DomainKey(name))
		if err != nil {
			return a.writeError(c, err)
		}
		status := DomainStatus{Domain: name, State: ledger.DomainIn, Version: rows[0].Version}
		if rows[0].Version > 0 {
			row, err := ledger.Decode[ledger.Domain](rows[0].Key, rows[0].Value)
			if err != nil {
				return a.writeError(c, err)
			}
			status.State, status.Operator, status.Reason = row.State, row.Operator, row.Reason
		}
		daemons := a.fetchStatuses(ctx, name, &innerproto.StatusRequest{})
		status.Running = countRunning(daemons)
		status.Active = appliedByCells(daemons, status)
		statuses = append(statuses, status)
	}
	return c.JSON(http.StatusOK, statuses)
}

// appliedByCells reports whether every cell that responded has applied the state in status.
func appliedByCells(daemons []DaemonStatus, status DomainStatus) bool {
	for _, cell := range cellsOf(daemons) {
		if cell.DomainVersion != status.Version || cell.StartsAllowed != (status.State == ledger.DomainIn) {
			return false
		}
	}
	return true
}

// Cell is the status of a cell in the operators' API.
type Cell struct {
	Cell          string `json:"cell"`
	Owner         string `json:"owner"`
	Epoch         int64  `json:"epoch"`
	Workers       int64  `json:"workers"`
	Running       int64  `json:"running"`
	Queued        int64  `json:"queued"`
	Parked        int64  `json:"parked"`
	DomainVersion int64  `json:"domain_version"`
	StartsAllowed bool   `json:"starts_allowed"`
}

func (a *API) listCells(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	return c.JSON(http.StatusOK, cellsOf(a.fetchStatuses(ctx, "", &innerproto.StatusRequest{})))
}

// cellsOf returns the cells owned by the daemons. If several daemons report the same cell, the highest epoch wins.
func cellsOf(statuses []DaemonStatus) []Cell {
	cells := map[string]Cell{}
	for _, status := range statuses {
		for _, cell := range status.response.GetCells() {
			if cell.Epoch < cells[cell.Cell].Epoch {
				continue
			}
			cells[cell.Cell] = Cell{
				Cell: cell.Cell, Owner: status.VM, Epoch: cell.Epoch, Workers: cell.Workers, Running: cell.Running,
				Queued: cell.Queued, Parked: cell.Parked, DomainVersion: cell.DomainVersion, StartsAllowed: cell.StartsAllowed,
			}
		}
	}
	return slices.SortedFunc(maps.Values(cells), func(x, y Cell) int { return strings.Compare(x.Cell, y.Cell) })
}

// countRunning returns the number of running tasks in all reported cells.
func countRunning(statuses []DaemonStatus) int64 {
	total := int64(0)
	for _, cell := range cellsOf(statuses) {
		total += cell.Running
	}
	return total
}
