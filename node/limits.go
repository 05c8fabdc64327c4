package node

import (
	"math"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/memory"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/platform"
)

const (
	// jobMemoryShare is the part of the VM's memory that jobs of its cells may take, in percent.
	jobMemoryShare = 20
	// poolShare is the part of the VM's memory that clients, jobs and requests of other nodes may take together, in percent.
	poolShare = 40
	// defaultMemoryMB applies to deployments whose settings don't state the VM's memory.
	defaultMemoryMB = 1024
)

// jobMemoryOf returns the bytes that jobs may take on a VM with the given memory in MB; 0 is unknown.
func jobMemoryOf(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20 * jobMemoryShare / 100
}

// newJobMemory returns the bound of the memory of jobs, with its metrics.
func newJobMemory(registry prometheus.Registerer, pool *memory.Pool) *dispatch.JobMemory {
	jobs := dispatch.NewJobMemory(jobMemoryOf(0), pool)
	gauge := func(name, help string, value func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "jobs", Name: name, Help: help},
			func() float64 { return float64(value()) })
	}
	registry.MustRegister(gauge("held_bytes", "Memory that the jobs of this node's cells take.", jobs.Held),
		gauge("limit_bytes", "Memory that the jobs of this node's cells may take.", jobs.Limit))
	return jobs
}

// applyVMLimits derives what clients, jobs and other nodes may hold, and when the garbage collector works harder, from the memory and
// descriptors of this VM.
func (n *Node) applyVMLimits(s *platform.Settings) {
	pool := int64(math.MaxInt64)
	if s.MemoryMB > 0 {
		pool = s.MemoryMB << 20 * poolShare / 100
	}
	n.memoryPool.SetLimit(pool)
	n.clients.SetBudget(clientlimit.BudgetOf(s.MemoryMB, s.MaxFDs))
	n.peerLimiter.SetBudget(clientlimit.PeerBudgetOf(s.MemoryMB, s.MaxFDs))
	n.jobMemory.SetLimit(jobMemoryOf(s.MemoryMB))
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(clientlimit.RuntimeLimit(s.MemoryMB))
	}
}
