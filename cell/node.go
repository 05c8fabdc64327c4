package cell

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/drain"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/settings"
)

// NodeConfig describes a Node.
type NodeConfig struct {
	VM, Region, Domain string
	// Addr is host:port for inner messages, and OwnerURL the base URL that workers poll.
	Addr, OwnerURL string
	Settings       func() settings.Effective
	Table          infra.Table
	Workers        infra.Workers
	// VMs returns the last VM list that was read; it is empty before the first successful read.
	VMs        func() []infra.VM
	NewPlanner func() Planner
	// Announce notifies a successor of a handover.
	Announce Announcer
	Rand     *rand.Rand
	Logger   *logrus.Entry
	Metrics  *Metrics
}

// Node runs a candidate for each cell of a sched daemon's failure domain, and forwards polls and wake-ups to them.
type Node struct {
	cfg   NodeConfig
	gate  *drain.Gate
	cells []*Cell

	mu          sync.Mutex // guards the fields below
	pollServers map[string]PollServer
	// domainsByRegion caches the failure domains of each region; domainsFrom is the VM list that it was derived from.
	domainsByRegion map[string][]string
	domainsFrom     []infra.VM
}

// NewNode returns a node. It reads the number of cells once, because that is fixed while a deployment runs.
func NewNode(cfg NodeConfig) *Node {
	n := &Node{cfg: cfg, pollServers: map[string]PollServer{}, domainsByRegion: map[string][]string{}}
	permit := func() time.Duration { return cfg.Settings().Sched.StartPermit.D() }
	n.gate = drain.NewGate(cfg.Table, cfg.Domain, permit, newRand(cfg.Rand))
	count := cfg.Settings().Sched.CellsPerDomain
	for i := range count {
		n.cells = append(n.cells, n.newCell(i, count))
	}
	return n
}

// Name returns the name of cell number index of a failure domain.
func Name(domain string, index int) string { return fmt.Sprintf("%s-%d", domain, index) }

// cellIndex returns the index of the cell, of count, to which key hashes.
func cellIndex(key string, count int) int { return int(xxhash.Sum64String(key) % uint64(count)) }

func (n *Node) newCell(i, count int) *Cell {
	name := Name(n.cfg.Domain, i)
	return New(Config{
		Cell: name, Domain: n.cfg.Domain, Region: n.cfg.Region, VM: n.cfg.VM, Addr: n.cfg.Addr,
		OwnerURL: n.cfg.OwnerURL, Settings: n.cfg.Settings, Table: n.cfg.Table, Workers: n.cfg.Workers, Gate: n.gate,
		NewPlanner:  n.cfg.NewPlanner,
		CellWorkers: func() ([]infra.VM, bool) { return n.cellWorkers(i, count) },
		ClaimRank:   func(t job.Task) int { return n.claimRank(t, i, count) },
		Rand:        newRand(n.cfg.Rand), Logger: n.cfg.Logger, Metrics: n.cfg.Metrics, SetPollServer: n.setPollServer,
	})
}

func (n *Node) cellWorkers(i, count int) ([]infra.VM, bool) {
	vms := n.cfg.VMs()
	var workers []infra.VM
	for _, vm := range vms {
		if vm.Role == infra.RoleWorker && vm.Domain == n.cfg.Domain && cellIndex(vm.Rack, count) == i {
			workers = append(workers, vm)
		}
	}
	return workers, len(vms) > 0
}

// claimRank returns the rank of cell i among the cells that may claim a task. It ranks the failure domains by rendezvous
// hash and the cells within a domain in rotation from the task's hash, so that all cells agree on the order without
// communication.
func (n *Node) claimRank(t job.Task, i, count int) int {
	inDomain := (i - cellIndex(string(t.ID), count) + count) % count
	if t.Spec.Constraints.Domain != "" {
		return inDomain
	}
	localHash := xxhash.Sum64String(string(t.ID) + "/" + n.cfg.Domain)
	ahead := 0
	for _, domain := range n.domains(t.Spec.Constraints.Region) {
		if domain != n.cfg.Domain && xxhash.Sum64String(string(t.ID)+"/"+domain) < localHash {
			ahead++
		}
	}
	return ahead*count + inDomain
}

// domains returns the failure domains with workers in a region, or in all regions if region is empty. The result is cached
// until the VM list changes, because it is needed for each queued task.
func (n *Node) domains(region string) []string {
	vms := n.cfg.VMs()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(vms) != len(n.domainsFrom) || len(vms) > 0 && &vms[0] != &n.domainsFrom[0] {
		n.domainsFrom = vms
		clear(n.domainsByRegion)
	}
	domains, ok := n.domainsByRegion[region]
	if ok {
		return domains
	}
	seen := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == infra.RoleWorker && (region == "" || vm.Region == region) {
			seen[vm.Domain] = true
		}
	}
	domains = slices.Sorted(maps.Keys(seen))
	n.domainsByRegion[region] = domains
	return domains
}

// Run runs the candidates of all cells until ctx ends, then hands over or releases the cells that it owns.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	gateCtx, stopGate := context.WithCancel(context.WithoutCancel(ctx))
	gateDone := make(chan struct{})
	go func() {
		defer close(gateDone)
		n.gate.Run(gateCtx)
	}()
	for _, c := range n.cells {
		wg.Go(func() { c.Run(ctx, n.successor, n.cfg.Announce) })
	}
	wg.Wait()
	stopGate()
	<-gateDone
}

// successor picks a live peer of the failure domain from the VM list.
func (n *Node) successor() (Successor, bool) {
	var peers []infra.VM
	for _, vm := range n.cfg.VMs() {
		if vm.Role == infra.RoleEntry && vm.Domain == n.cfg.Domain && vm.ID != n.cfg.VM &&
			vm.State == infra.VMLive && vm.SchedAddr != "" {
			peers = append(peers, vm)
		}
	}
	if len(peers) == 0 {
		return Successor{}, false
	}
	slices.SortFunc(peers, func(a, b infra.VM) int { return strings.Compare(a.ID, b.ID) })
	position, _ := slices.BinarySearchFunc(peers, n.cfg.VM, func(vm infra.VM, id string) int { return strings.Compare(vm.ID, id) })
	next := peers[position%len(peers)]
	return Successor{VM: next.ID, Addr: next.SchedAddr}, true
}

func (n *Node) setPollServer(cell string, server PollServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if server == nil {
		delete(n.pollServers, cell)
		return
	}
	n.pollServers[cell] = server
}

// Poll implements infra.PollServer.
func (n *Node) Poll(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	n.mu.Lock()
	server := n.pollServers[req.Cell]
	n.mu.Unlock()
	if server == nil {
		return infra.PollResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch}
	}
	return server.Poll(ctx, req)
}

// startsCheckInterval is the time between checks for starts in flight after an out-command.
const startsCheckInterval = 50 * time.Millisecond

// AnnounceDomain applies an announced command for a failure domain before it is read from the table. An out-command for
// this node's domain withdraws the permission for starts at once; the call then waits until no start command in flight can
// take effect, and reports whether that is the case.
func (n *Node) AnnounceDomain(ctx context.Context, domain string, out bool) bool {
	if domain != n.cfg.Domain {
		return false
	}
	n.gate.Announce(out)
	if !out {
		return false
	}
	until := n.gate.LatestPermit()
	for n.startsInFlight() && time.Now().Before(until) {
		if !wait.For(ctx, startsCheckInterval) {
			return false
		}
	}
	return true
}

func (n *Node) startsInFlight() bool {
	return slices.ContainsFunc(n.cells, func(c *Cell) bool { return c.Status().StartsInFlight })
}

// CheckOwnership triggers a read of a cell's ownership row because it may name this VM.
func (n *Node) CheckOwnership(cell string) {
	for _, c := range n.cells {
		if c.Name() == cell {
			c.CheckOwnership()
		}
	}
}

// WakeScans triggers a scan of the queues if they may have changed in one of the failure domains; no domains means all.
func (n *Node) WakeScans(domains []string) {
	if len(domains) > 0 && !slices.Contains(domains, n.cfg.Domain) {
		return
	}
	for _, c := range n.cells {
		c.WakeScan()
	}
}

// Domain returns the last known state of the node's failure domain.
func (n *Node) Domain() drain.State { return n.gate.State() }

// Status returns the state of each cell by name.
func (n *Node) Status() map[string]Status {
	status := map[string]Status{}
	for _, c := range n.cells {
		status[c.Name()] = c.Status()
	}
	return status
}
