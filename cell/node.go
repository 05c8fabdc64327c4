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
	// VMs returns the last answer of the VM list; empty means that it has not answered yet.
	VMs        func() []infra.VM
	NewPlanner func() Planner
	// Announce tells a successor of a handover.
	Announce Announcer
	Rand     *rand.Rand
	Logger   *logrus.Entry
	Metrics  *Metrics
}

// Node is a sched daemon's part in the cells of its failure domain: a candidate for each of them.
type Node struct {
	cfg   NodeConfig
	gate  *drain.Gate
	cells []*Cell

	mu      sync.Mutex // guards the fields below
	holders map[string]PollServer
	// byRegion holds the failure domains of each region in domainsOf, the VM list that they were taken from.
	byRegion  map[string][]string
	domainsOf []infra.VM
}

// NewNode returns a node. The number of cells is read once, because it is fixed while a deployment runs.
func NewNode(cfg NodeConfig) *Node {
	n := &Node{cfg: cfg, holders: map[string]PollServer{}, byRegion: map[string][]string{}}
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

// index returns the number of the cell among count that s belongs to.
func index(s string, count int) int { return int(xxhash.Sum64String(s) % uint64(count)) }

func (n *Node) newCell(i, count int) *Cell {
	name := Name(n.cfg.Domain, i)
	return New(Config{
		Cell: name, Domain: n.cfg.Domain, Region: n.cfg.Region, VM: n.cfg.VM, Addr: n.cfg.Addr,
		OwnerURL: n.cfg.OwnerURL, Settings: n.cfg.Settings, Table: n.cfg.Table, Workers: n.cfg.Workers, Gate: n.gate,
		NewPlanner: n.cfg.NewPlanner,
		Members:    func() ([]infra.VM, bool) { return n.members(i, count) },
		Home:       func(t job.Task) int { return n.rank(t, i, count) },
		Rand:       newRand(n.cfg.Rand), Logger: n.cfg.Logger, Metrics: n.cfg.Metrics, Serve: n.serve,
	})
}

func (n *Node) members(i, count int) ([]infra.VM, bool) {
	vms := n.cfg.VMs()
	var members []infra.VM
	for _, vm := range vms {
		if vm.Role == infra.RoleWorker && vm.Domain == n.cfg.Domain && index(vm.Rack, count) == i {
			members = append(members, vm)
		}
	}
	return members, len(vms) > 0
}

// rank orders the cells by rendezvous hash, so that all of them agree without a message which one claims a task first.
func (n *Node) rank(t job.Task, i, count int) int {
	inDomain := (i - index(string(t.ID), count) + count) % count
	if t.Spec.Constraints.Domain != "" {
		return inDomain
	}
	own := xxhash.Sum64String(string(t.ID) + "/" + n.cfg.Domain)
	ahead := 0
	for _, domain := range n.domains(t.Spec.Constraints.Region) {
		if domain != n.cfg.Domain && xxhash.Sum64String(string(t.ID)+"/"+domain) < own {
			ahead++
		}
	}
	return ahead*count + inDomain
}

// domains returns the failure domains with workers in a region, or in all if region is empty. The answer is kept until
// the VM list changes, because it is needed for each queued task.
func (n *Node) domains(region string) []string {
	vms := n.cfg.VMs()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(vms) != len(n.domainsOf) || len(vms) > 0 && &vms[0] != &n.domainsOf[0] {
		n.domainsOf = vms
		clear(n.byRegion)
	}
	domains, ok := n.byRegion[region]
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
	n.byRegion[region] = domains
	return domains
}

// Run is a candidate for all cells until ctx ends, then hands over or releases those that it owns.
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
	own, _ := slices.BinarySearchFunc(peers, n.cfg.VM, func(vm infra.VM, id string) int { return strings.Compare(vm.ID, id) })
	next := peers[own%len(peers)]
	return Successor{VM: next.ID, Addr: next.SchedAddr}, true
}

func (n *Node) serve(cell string, holder PollServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if holder == nil {
		delete(n.holders, cell)
		return
	}
	n.holders[cell] = holder
}

// Poll implements infra.PollServer.
func (n *Node) Poll(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	n.mu.Lock()
	holder := n.holders[req.Cell]
	n.mu.Unlock()
	if holder == nil {
		return infra.PollResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch}
	}
	return holder.Poll(ctx, req)
}

// announceInterval is the time between looks at whether an out-command is in force.
const announceInterval = 50 * time.Millisecond

// AnnounceDomain passes on a command for a failure domain. For an out-command of this node's domain it stops starts at
// once and waits until no start that was sent can happen any more. It reports whether that is so.
func (n *Node) AnnounceDomain(ctx context.Context, domain string, out bool) bool {
	if domain != n.cfg.Domain {
		return false
	}
	n.gate.Announce(out)
	if !out {
		return false
	}
	until := n.gate.Ceiling()
	for n.startsInFlight() && time.Now().Before(until) {
		if !wait.For(ctx, announceInterval) {
			return false
		}
	}
	return true
}

func (n *Node) startsInFlight() bool {
	return slices.ContainsFunc(n.cells, func(c *Cell) bool { return c.Status().StartsInFlight })
}

// Offer passes on that the ownership row of a cell names this VM.
func (n *Node) Offer(cell string) {
	for _, c := range n.cells {
		if c.Name() == cell {
			c.Offer()
		}
	}
}

// Poke hints that the queues of failure domains changed; none means any.
func (n *Node) Poke(domains []string) {
	if len(domains) > 0 && !slices.Contains(domains, n.cfg.Domain) {
		return
	}
	for _, c := range n.cells {
		c.Poke()
	}
}

// Domain returns what the node knows of its failure domain.
func (n *Node) Domain() drain.State { return n.gate.State() }

// Status returns the state of each cell by name.
func (n *Node) Status() map[string]Status {
	status := map[string]Status{}
	for _, c := range n.cells {
		status[c.Name()] = c.Status()
	}
	return status
}
