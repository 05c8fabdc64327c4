package node

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/platform"
)

// settingsCheck is the interval at which the settings file is read to detect changes without a signal.
const settingsCheck = 2 * time.Second

// reloadLoop applies changes of the settings file. Names and addresses do not change while the process runs; the bounds
// do, for cells that are acquired afterwards. An invalid file changes nothing.
func (n *Node) reloadLoop(ctx context.Context) {
	last, err := os.ReadFile(n.settingsFile)
	if err != nil {
		n.log.WithError(err).Warn("could not read the settings file")
	}
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case _, signalled = <-n.reload:
		}
		source, err := os.ReadFile(n.settingsFile)
		if err != nil {
			n.log.WithError(err).Warn("could not read the settings file; the previous settings stay active")
			continue
		}
		if bytes.Equal(source, last) {
			if signalled {
				n.log.Info("settings file is unchanged")
			}
			continue
		}
		last = source
		n.applySettings(source, signalled)
	}
}

func (n *Node) applySettings(source []byte, signalled bool) {
	fields := logrus.Fields{"file": n.settingsFile, "signalled": signalled}
	fresh, err := platform.ParseSettings(n.settingsFile, source)
	if err != nil {
		n.log.WithFields(fields).WithError(err).Error("settings rejected; the previous ones stay active")
		return
	}
	if fresh.ClientAddr != n.settings.ClientAddr || fresh.ReadyAddr != n.settings.ReadyAddr ||
		fresh.StoreAddr != n.settings.StoreAddr || fresh.Node != n.settings.Node {
		n.log.WithFields(fields).Warn("changes of names and addresses need a restart")
	}
	n.bounds.Store(&fresh.Bounds)
	n.applyVMLimits(fresh)
	n.log.WithFields(fields).Info("settings reloaded")
}

const (
	// jobMemoryShare is the part of the VM's memory that jobs of its cells may take, in percent.
	jobMemoryShare = 20
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
func newJobMemory(registry prometheus.Registerer) *dispatch.JobMemory {
	memory := dispatch.NewJobMemory(jobMemoryOf(0))
	gauge := func(name, help string, value func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "jobs", Name: name, Help: help},
			func() float64 { return float64(value()) })
	}
	registry.MustRegister(gauge("held_bytes", "Memory that the jobs of this node's cells take.", memory.Held),
		gauge("limit_bytes", "Memory that the jobs of this node's cells may take.", memory.Limit))
	return memory
}

// applyVMLimits derives what clients may hold, and when the garbage collector works harder, from the memory and descriptors of this VM.
func (n *Node) applyVMLimits(s *platform.Settings) {
	n.clients.SetBudget(clientlimit.BudgetOf(s.MemoryMB, s.MaxFDs))
	n.peerLimiter.SetBudget(clientlimit.PeerBudgetOf(s.MemoryMB, s.MaxFDs))
	n.jobMemory.SetLimit(jobMemoryOf(s.MemoryMB))
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(clientlimit.RuntimeLimit(s.MemoryMB))
	}
}
