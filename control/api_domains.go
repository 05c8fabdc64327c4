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

// driftMargin is added to the permits' term before an out-command counts as in force without confirmation: 1% clock
// drift of the longest permit and 100 ms.
const driftMargin = 125 * time.Millisecond

const (
	// returnTimeout bounds the wait for the cells of a failure domain that comes back. They read its row each second.
	returnTimeout = 5 * time.Second
	returnPoll    = 100 * time.Millisecond
)

// DomainRequest is the body of an out- or in-command.
type DomainRequest struct {
	State    ledger.DomainState `json:"state"`
	Operator string             `json:"operator"`
	Reason   string             `json:"reason"`
	// IfVersion, if set, is the version of the row that the operator has seen; another version is a conflict.
	IfVersion *int64 `json:"if_version,omitempty"`
}

// DomainStatus is a failure domain as operators see it.
type DomainStatus struct {
	Domain   string             `json:"domain"`
	State    ledger.DomainState `json:"state"`
	Operator string             `json:"operator,omitempty"`
	Reason   string             `json:"reason,omitempty"`
	// Version is that of the row; 0 if no command was ever given.
	Version int64 `json:"version"`
	// InForce is set by a command: no task starts in the domain any more, or the cells may start tasks again.
	InForce bool `json:"in_force"`
	// Confirmed and Unconfirmed list entry VMs whose sched daemon did or did not confirm a command.
	Confirmed   []string `json:"confirmed,omitempty"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// Running is the number of tasks that still run there, as far as the cells answered.
	Running int64 `json:"running"`
}

// setDomain stores a command, tells the sched daemons of the domain and answers once it is in force: when all of them
// confirmed it, or when the permits that were granted before it have run out.
func (a *API) setDomain(c echo.Context) error {
	ctx, cancel := a.timeout(c)
	defer cancel()
	name := c.Param("name")
	var req DomainRequest
	if err := bind(c, &req); err != nil {
		return a.fail(c, err)
	}
	if req.State != ledger.DomainIn && req.State != ledger.DomainOut {
		return a.fail(c, &APIError{Code: "invalid", Message: `state: allowed are "in" and "out"`})
	}
	if !slices.Contains(a.domains(), name) {
		return a.fail(c, &APIError{Code: "not-found", Message: "failure domain " + name + " is not in the VM list"})
	}
	version, err := a.storeDomain(ctx, name, req)
	if err != nil {
		return a.fail(c, err)
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
	status.Running = running(a.askAll(ctx, name, &innerproto.StatusRequest{}))
	return c.JSON(http.StatusOK, status)
}

// awaitOut returns once no task starts any more: at once if all confirmed, or when the permits have run out.
func (a *API) awaitOut(ctx context.Context, status *DomainStatus, stored time.Time) {
	if len(status.Unconfirmed) > 0 {
		wait.For(ctx, time.Until(stored.Add(longestPermit()+driftMargin)))
	}
	status.InForce = ctx.Err() == nil
}

// awaitIn returns once every cell of the domain that answers acts on the command, or after returnTimeout.
func (a *API) awaitIn(ctx context.Context, status *DomainStatus) {
	status.Confirmed, status.Unconfirmed = nil, nil
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	for ctx.Err() == nil && !status.InForce {
		wait.For(ctx, returnPoll)
		status.InForce = actOn(a.askAll(ctx, status.Domain, &innerproto.StatusRequest{}), *status)
	}
}

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

// longestPermit is the largest start permit that any settings allow: a cut-off VM may have other settings in force.
func longestPermit() time.Duration { return settings.MaxStartPermit() }

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
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			answer, err := a.cfg.Dial(vm.SchedAddr).AnnounceDomain(ctx, req)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && answer.InForce {
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

func (a *API) domains() []string {
	names := map[string]bool{}
	for _, vm := range a.cfg.VMs() {
		names[vm.Domain] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (a *API) listDomains(c echo.Context) error {
	ctx, cancel := a.timeout(c)
	defer cancel()
	statuses := []DomainStatus{}
	for _, name := range a.domains() {
		rows, err := a.cfg.Table.Read(ctx, ledger.DomainKey(name))
		if err != nil {
			return a.fail(c, err)
		}
		status := DomainStatus{Domain: name, State: ledger.DomainIn, Version: rows[0].Version}
		if rows[0].Version > 0 {
			row, err := ledger.Decode[ledger.Domain](rows[0].Key, rows[0].Value)
			if err != nil {
				return a.fail(c, err)
			}
			status.State, status.Operator, status.Reason = row.State, row.Operator, row.Reason
		}
		daemons := a.askAll(ctx, name, &innerproto.StatusRequest{})
		status.Running = running(daemons)
		status.InForce = actOn(daemons, status)
		statuses = append(statuses, status)
	}
	return c.JSON(http.StatusOK, statuses)
}

// actOn reports whether every cell that answered acts on the row's version.
func actOn(daemons []DaemonStatus, status DomainStatus) bool {
	for _, cell := range cellsOf(daemons) {
		if cell.DomainVersion != status.Version || cell.StartsAllowed != (status.State == ledger.DomainIn) {
			return false
		}
	}
	return true
}

// Cell is a cell as operators see it.
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
	ctx, cancel := a.timeout(c)
	defer cancel()
	return c.JSON(http.StatusOK, cellsOf(a.askAll(ctx, "", &innerproto.StatusRequest{})))
}

// cellsOf returns the cells that daemons own. Of two daemons that name the same cell the higher epoch counts.
func cellsOf(statuses []DaemonStatus) []Cell {
	cells := map[string]Cell{}
	for _, status := range statuses {
		for _, cell := range status.answer.GetCells() {
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

func running(statuses []DaemonStatus) int64 {
	total := int64(0)
	for _, cell := range cellsOf(statuses) {
		total += cell.Running
	}
	return total
}
