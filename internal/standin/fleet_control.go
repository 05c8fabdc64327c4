package standin

import (
	"context"
	"net"
	"net/http"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/infra"
)

// AllVMs selects all workers or all runners in the fault switches.
const AllVMs = "*"

// MachineFaults are the fault switches of one worker VM.
type MachineFaults struct {
	WorkerFaults
	// Server holds the faults of the worker's HTTP server, which receives attach calls.
	Server ServerFaults `json:"server,omitzero"`
	// Dead crashes the worker VM; switching it off starts a new incarnation of the worker. The resident runner on the VM
	// has a separate switch.
	Dead bool `json:"dead,omitempty"`
	// Silence makes all currently open connections to the worker drop their traffic permanently.
	Silence bool `json:"silence,omitempty"`
}

// FleetFaults is the body of POST /faults of the simulated workers. It replaces the switches of the VMs that it names.
type FleetFaults struct {
	// Workers and Runners are keyed by VM ID, or AllVMs.
	Workers map[string]MachineFaults `json:"workers,omitempty"`
	Runners map[string]RunnerFaults  `json:"runners,omitempty"`
	// Interference replaces coefficients of the interference model, keyed by the affected kind and then by the interfering
	// kind.
	Interference map[string]map[string]float64 `json:"interference,omitempty"`
}

// SetFaults applies fault switches.
func (f *Fleet) SetFaults(ctx context.Context, faults FleetFaults) {
	f.interference.Set(faults.Interference)
	for id, switches := range faults.Workers {
		for _, m := range f.matchingMachines(id) {
			m.setFaults(ctx, switches)
		}
	}
	for id, switches := range faults.Runners {
		for _, r := range f.matchingRunners(id) {
			r.SetFaults(switches)
		}
	}
}

func (f *Fleet) matchingMachines(id string) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*machine
	for _, m := range f.machines {
		if id == AllVMs || m.vm.ID == id {
			found = append(found, m)
		}
	}
	return found
}

func (f *Fleet) matchingRunners(id string) []*listedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*listedRunner
	for name, r := range f.runners {
		if id == AllVMs || name == id {
			found = append(found, r)
		}
	}
	return found
}

func (m *machine) setFaults(ctx context.Context, switches MachineFaults) {
	m.injector.SetFaults(switches.Server)
	worker, dead := m.currentWorker()
	worker.SetFaults(switches.WorkerFaults)
	if switches.Silence {
		m.silence()
	}
	switch {
	case switches.Dead && !dead:
		m.kill()
	case !switches.Dead && dead:
		if err := m.boot(ctx, switches.WorkerFaults); err != nil {
			m.fleet.log.WithError(err).Error("failed to restart the worker")
		}
	}
}

func (m *machine) silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Silence()
}

// Faults returns the fault switches of every VM.
func (f *Fleet) Faults() FleetFaults {
	faults := FleetFaults{Workers: map[string]MachineFaults{}, Runners: map[string]RunnerFaults{}}
	for _, m := range f.matchingMachines(AllVMs) {
		worker, dead := m.currentWorker()
		faults.Workers[m.vm.ID] = MachineFaults{WorkerFaults: worker.Faults(), Server: m.injector.Faults(), Dead: dead}
	}
	for _, r := range f.matchingRunners(AllVMs) {
		faults.Runners[r.vm.ID] = r.Faults()
	}
	return faults
}

// FleetCounts is the response of GET /counts of the simulated workers.
type FleetCounts struct {
	Domain   string       `json:"domain"`
	Requests RunSummary   `json:"requests"`
	Workers  WorkerCounts `json:"workers"`
	// ConnectionsRefused counts connections that runners refused above their limit.
	ConnectionsRefused int64 `json:"connections_refused"`
}

// Counts returns the counts so far.
func (f *Fleet) Counts() FleetCounts {
	counts := FleetCounts{Domain: f.cfg.Domain, Requests: f.runs.Summary(), Workers: f.journal.Counts()}
	for _, r := range f.matchingRunners(AllVMs) {
		counts.ConnectionsRefused += r.ConnectionsRefused()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	counts.ConnectionsRefused += f.refusedByClosed
	return counts
}

// Control returns the handler of the control address. Workers that it restarts run until ctx ends.
func (f *Fleet) Control(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	addFaultRoutes(mux, f.Faults, func(faults FleetFaults) { f.SetFaults(ctx, faults) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, r *http.Request) {
		infra.WriteMessage(w, r, f.Counts())
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		infra.WriteMessage(w, r, f.journal.Runs())
	})
	mux.HandleFunc("POST /lookup", func(w http.ResponseWriter, r *http.Request) {
		var l Lookup
		if readRequest(w, r, &l) {
			infra.WriteMessage(w, r, f.runs.Lookup(l))
		}
	})
	return mux
}

// Serve serves the control address and registers the VMs until ctx ends, then stops every VM.
func (f *Fleet) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.cfg.ControlAddr)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.Register(ctx); return nil })
	group.Go(func() error { return serve(ctx, listener, f.Control(ctx)) })
	err = group.Wait()
	f.Kill()
	return err
}

func sortVMs(vms []infra.VM) {
	slices.SortFunc(vms, func(a, b infra.VM) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
}
