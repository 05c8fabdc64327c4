package standin

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// FleetConfig configures the simulated workers and runners of one failure domain.
type FleetConfig struct {
	Region, Domain string
	// Net is the first three octets of the VMs' addresses, such as "127.20.1"; worker number n has the address Net.n.
	Net string
	// WorkerPort and RunnerPort are the ports on every VM; 0 picks free ports.
	WorkerPort, RunnerPort int
	// Workers is the number of worker VMs, 1 to 199. RackSize is the number of workers in a rack.
	Workers, RackSize int
	// Capacity is the resources of each worker.
	Capacity job.Resources
	// Runners is the number of workers, from the first, that have a resident runner: a runner of Service that runs from the
	// start and belongs to no task.
	Runners int
	Service string
	// Slots, Connections and Queue describe every runner.
	Slots, Connections, Queue int
	// ResidentShare is the share of a worker's processors that its resident runner uses, for the interference model.
	ResidentShare float64
	UsageLag      time.Duration
	// ControlAddr is host:port of /faults, /counts, /runs and /lookup.
	ControlAddr string
	// ObjectsURL is the base URL of the object store. RegisterURL is the control URL of the simulated platform; if it is
	// empty, the VMs are not registered.
	ObjectsURL, RegisterURL string
	Timeout                 time.Duration
}

// Validate returns the first error in the configuration.
func (c FleetConfig) Validate() error {
	switch {
	case c.Region == "" || c.Domain == "":
		return errors.New("region and domain must not be empty")
	case c.Workers < 1 || c.Workers > maxWorkers:
		return errors.Errorf("workers: %d is outside 1 to %d", c.Workers, maxWorkers)
	case c.Runners < 0 || c.Runners > c.Workers:
		return errors.Errorf("runners: %d is outside 0 to the number of workers", c.Runners)
	case c.RackSize < 1 || c.Slots < 1 || c.Connections < 1 || c.Queue < 0:
		return errors.New("rack size, slots and connections must be above 0 and the queue 0 or more")
	case net.ParseIP(c.Net+".1") == nil:
		return errors.Errorf("net: %q is not the first three numbers of an address", c.Net)
	}
	return nil
}

// maxWorkers bounds the workers of a failure domain: the addresses from 200 on belong to entry VMs and control servers.
const maxWorkers = 199

// registerInterval is the time between two registrations with the simulated platform.
const registerInterval = 500 * time.Millisecond

// Fleet simulates the workers and runners of one failure domain.
type Fleet struct {
	cfg          FleetConfig
	log          *logrus.Entry
	runs         *RunCounts
	journal      *Journal
	interference *Interference
	poller       *infra.PollClient
	objects      infra.Objects

	mu       sync.Mutex // guards the fields below
	machines []*machine
	// runners holds the resident runners and those of service tasks, by VM ID.
	runners map[string]*listedRunner
	// refusedByClosed counts the connections refused by runners that have since ended.
	refusedByClosed int64
}

type listedRunner struct {
	*Runner
	vm infra.VM
}

// machine is one worker VM. Each restart after a crash replaces its worker by a new incarnation.
type machine struct {
	fleet    *Fleet
	index    int
	vm       infra.VM
	injector *FaultInjector

	mu       sync.Mutex // guards the fields below
	worker   *Worker
	listener *Listener
	server   *http.Server
	stop     context.CancelFunc
	resident *Runner
	dead     bool
}

// NewFleet starts the VMs of a failure domain.
func NewFleet(ctx context.Context, cfg FleetConfig, log *logrus.Entry) (*Fleet, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg: cfg, log: log, runs: NewRunCounts(), journal: NewJournal(), interference: NewInterference(),
		poller:  infra.NewPollClient(cfg.Domain, cfg.Timeout),
		objects: infra.NewObjectsClient(cfg.ObjectsURL, cfg.Domain, cfg.Timeout),
		runners: map[string]*listedRunner{},
	}
	for i := range cfg.Workers {
		m, err := f.newMachine(ctx, i)
		if err != nil {
			f.Kill()
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (f *Fleet) newMachine(ctx context.Context, i int) (*machine, error) {
	id := fmt.Sprintf("%s-w%02d", f.cfg.Domain, i+1)
	ip := fmt.Sprintf("%s.%d", f.cfg.Net, i+1)
	m := &machine{fleet: f, index: i, vm: infra.VM{
		ID: id, Role: infra.RoleWorker, State: infra.VMLive, Region: f.cfg.Region, Domain: f.cfg.Domain,
		Rack: fmt.Sprintf("%s-r%02d", f.cfg.Domain, i/f.cfg.RackSize+1), Capacity: f.cfg.Capacity,
		Addr: net.JoinHostPort(ip, strconv.Itoa(f.cfg.WorkerPort)),
	}}
	m.injector = NewFaultInjector(http.HandlerFunc(m.attach), func(*http.Request) bool { return true })
	if i < f.cfg.Runners {
		runner, err := f.openRunner(id+"-"+f.cfg.Service, f.cfg.Service, m.vm, f.cfg.RunnerPort)
		if err != nil {
			return nil, err
		}
		m.resident = runner
	}
	if err := m.boot(ctx, WorkerFaults{}); err != nil {
		return nil, err
	}
	return m, nil
}

// openRunner starts a runner on a VM and adds it to the VM list.
func (f *Fleet) openRunner(id, service string, on infra.VM, port int) (*Runner, error) {
	host, _, err := net.SplitHostPort(on.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	runner, err := StartRunner(RunnerConfig{
		ID: id, Addr: net.JoinHostPort(host, strconv.Itoa(port)),
		Slots: f.cfg.Slots, Connections: f.cfg.Connections, Queue: f.cfg.Queue,
	}, f.runs)
	if err != nil {
		return nil, errors.Annotatef(err, "runner %s", id)
	}
	vm := infra.VM{
		ID: id, Role: infra.RoleUpstream, Region: on.Region, Domain: on.Domain, Rack: on.Rack, Addr: runner.Addr(),
		Service: service, Slots: f.cfg.Slots, Connections: f.cfg.Connections,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[id] = &listedRunner{runner, vm}
	return runner, nil
}

// taskReplica is the runner of a service task. It is removed from the VM list when the task ends.
type taskReplica struct {
	*Runner
	fleet *Fleet
	id    string
}

// Kill implements Replica.
func (r taskReplica) Kill() {
	r.Runner.Kill()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if _, found := r.fleet.runners[r.id]; found {
		delete(r.fleet.runners, r.id)
		r.fleet.refusedByClosed += r.ConnectionsRefused()
	}
}

// boot starts a new incarnation of the worker.
func (m *machine) boot(ctx context.Context, faults WorkerFaults) error {
	f := m.fleet
	inner, err := net.Listen("tcp", m.vm.Addr)
	if err != nil {
		return errors.Annotatef(err, "worker %s", m.vm.ID)
	}
	cfg := WorkerConfig{
		ID: m.vm.ID, Domain: f.cfg.Domain, Capacity: f.cfg.Capacity, Poller: f.poller, Objects: f.objects,
		Interference: f.interference, Journal: f.journal, Seed: uint64(m.index), Open: m.openReplica,
		UsageLag: f.cfg.UsageLag,
	}
	if m.resident != nil {
		cfg.Resident, cfg.ResidentKind, cfg.ResidentShare = m.resident, "service:"+f.cfg.Service, f.cfg.ResidentShare
	}
	ctx, stop := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vm.Addr = inner.Addr().String()
	m.worker = NewWorker(cfg, faults)
	m.listener = NewListener(inner, 0)
	m.server = &http.Server{Handler: m.injector, ReadHeaderTimeout: 10 * time.Second}
	m.stop = stop
	m.dead = false
	go m.worker.Run(ctx)
	go func(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }(m.server, m.listener)
	return nil
}

func (m *machine) openReplica(ref infra.AttemptRef, spec job.TaskSpec) (Replica, error) {
	id := fmt.Sprintf("%s-%s-%d", m.vm.ID, ref.Task, ref.Attempt)
	runner, err := m.fleet.openRunner(id, spec.Service, m.vm, 0)
	if err != nil {
		return nil, err
	}
	return taskReplica{runner, m.fleet, id}, nil
}

func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return
	}
	m.dead = true
	m.stop()
	m.listener.Kill()
	_ = m.server.Close()
	m.worker.Kill()
}

func (m *machine) currentWorker() (worker *Worker, dead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker, m.dead
}

func (m *machine) listedVM() (vm infra.VM, dead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vm, m.dead
}

// attach serves the attach call of the worker protocol.
func (m *machine) attach(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != infra.PathAttach {
		http.NotFound(w, r)
		return
	}
	var req infra.AttachRequest
	if !readRequest(w, r, &req) {
		return
	}
	if req.Cell == "" || req.OwnerURL == "" {
		infra.WriteError(w, r, http.StatusBadRequest,
			infra.ErrorBody{Code: infra.CodeInvalid, Message: "cell and owner_url must not be empty"})
		return
	}
	worker, _ := m.currentWorker()
	response, err := worker.Attach(req)
	var stale *infra.StaleEpochError
	if stderrors.As(err, &stale) {
		infra.WriteError(w, r, http.StatusConflict, infra.ErrorBody{
			Code: infra.CodeStaleEpoch, Message: stale.Error(), Cell: stale.Cell, Got: stale.Got, Want: stale.Want,
		})
		return
	}
	writeResponse(w, r, response, err)
}

// VMs returns the current state of the VMs of the failure domain.
func (f *Fleet) VMs() []infra.VM {
	var vms []infra.VM
	for _, m := range f.matchingMachines(AllVMs) {
		if vm, dead := m.listedVM(); !dead {
			vms = append(vms, vm)
		}
	}
	for _, r := range f.matchingRunners(AllVMs) {
		state, listed := r.State()
		if listed {
			vm := r.vm
			vm.State = state
			vms = append(vms, vm)
		}
	}
	sortVMs(vms)
	return vms
}

// Register periodically registers the current VMs with the simulated platform until ctx ends.
func (f *Fleet) Register(ctx context.Context) {
	if f.cfg.RegisterURL == "" {
		return
	}
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	failed := false
	for {
		err := PostJSON(ctx, f.cfg.RegisterURL+pathRegister, Registration{Source: f.cfg.Domain, VMs: f.VMs()}, nil)
		if (err != nil) != failed && ctx.Err() == nil {
			failed = err != nil
			f.log.WithField("failed", failed).WithError(err).Info("outcome of VM registration changed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Kill stops every VM at once.
func (f *Fleet) Kill() {
	f.mu.Lock()
	machines := f.machines
	var runners []*listedRunner
	for _, r := range f.runners {
		runners = append(runners, r)
	}
	f.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	for _, r := range runners {
		r.Kill()
	}
}
