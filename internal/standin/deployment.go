package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/settings"
)

// Ports of a deployment on the local machine. Every VM has a separate loopback address.
const (
	portWorker      = 7000
	portSchedPoll   = 7200
	portSchedInner  = 7201
	portSchedAdmin  = 7202
	portRunner      = 8000
	portEntryCaller = 8080
	portEntryInner  = 8081
	portEntryAdmin  = 8082
	portControl     = 9000
	portTable       = 9001
	portObjects     = 9002
	portVMList      = 9003
)

// Last octets of addresses in the network of a failure domain. Workers start at 1.
const (
	hostFirstEntry = 201
	hostControl    = 254
)

// EntryVM is one entry VM with the addresses of its daemons.
type EntryVM struct {
	VM     string `json:"vm"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Addresses, host:port.
	Caller     string `json:"caller"`
	Inner      string `json:"inner"`
	Admin      string `json:"admin"`
	SchedPoll  string `json:"sched_poll"`
	SchedInner string `json:"sched_inner"`
	SchedAdmin string `json:"sched_admin"`
}

// DeployedDomain is one failure domain.
type DeployedDomain struct {
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Net is the first three octets of the addresses of its VMs.
	Net      string `json:"net"`
	Workers  int    `json:"workers"`
	EntryVMs int    `json:"entry_vms"`
	// ControlURL is the control server of its simulated workers.
	ControlURL string `json:"control_url"`
}

// Deployment is a deployment on loopback addresses of the local machine.
type Deployment struct {
	Name    string           `json:"name"`
	Service string           `json:"service"`
	Domains []DeployedDomain `json:"domains"`
	Entries []EntryVM        `json:"entries"`
	// Base URLs of the simulated platform.
	TableURL   string `json:"table_url"`
	ObjectsURL string `json:"objects_url"`
	VMListURL  string `json:"vm_list_url"`
	ControlURL string `json:"control_url"`
}

// deployments are the deployments of docs/design.md §1.
var deployments = map[string]Deployment{
	"manizales": {Name: "manizales", Service: "kioscos", Domains: []DeployedDomain{
		{Region: "caldas-centro", Domain: "chipre", Workers: 24, EntryVMs: 3},
		{Region: "caldas-centro", Domain: "la-enea", Workers: 24, EntryVMs: 3},
		{Region: "valle-norte", Domain: "cartago", Workers: 22, EntryVMs: 3},
	}},
	"baling": {Name: "baling", Service: "belownia", Domains: []DeployedDomain{
		{Region: "slask", Domain: "gliwice", Workers: 18, EntryVMs: 3},
		{Region: "slask", Domain: "katowice", Workers: 18, EntryVMs: 3},
		{Region: "pomorze", Domain: "gdynia", Workers: 14, EntryVMs: 2},
	}},
}

// NewDeployment returns the deployment with the given name, in the loopback network 127.network.
func NewDeployment(name string, network int) (Deployment, error) {
	d, found := deployments[name]
	if !found {
		return d, errors.NotValidf("deployment %q; it must be manizales or baling", name)
	}
	platformIP := fmt.Sprintf("127.%d.0.1", network)
	d.ControlURL = "http://" + hostPort(platformIP, portControl)
	d.TableURL = "http://" + hostPort(platformIP, portTable)
	d.ObjectsURL = "http://" + hostPort(platformIP, portObjects)
	d.VMListURL = "http://" + hostPort(platformIP, portVMList)
	d.Domains = append([]DeployedDomain{}, d.Domains...)
	for i := range d.Domains {
		domain := &d.Domains[i]
		domain.Net = fmt.Sprintf("127.%d.%d", network, i+1)
		domain.ControlURL = fmt.Sprintf("http://%s.%d:%d", domain.Net, hostControl, portControl)
		for n := range domain.EntryVMs {
			d.Entries = append(d.Entries, domain.entry(n))
		}
	}
	return d, nil
}

func (d DeployedDomain) entry(n int) EntryVM {
	ip := fmt.Sprintf("%s.%d", d.Net, hostFirstEntry+n)
	return EntryVM{
		VM: fmt.Sprintf("%s-e%d", d.Domain, n+1), Region: d.Region, Domain: d.Domain,
		Caller: hostPort(ip, portEntryCaller), Inner: hostPort(ip, portEntryInner), Admin: hostPort(ip, portEntryAdmin),
		SchedPoll: hostPort(ip, portSchedPoll), SchedInner: hostPort(ip, portSchedInner),
		SchedAdmin: hostPort(ip, portSchedAdmin),
	}
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// Range of networks from which FreeNetwork chooses.
const firstNetwork, lastNetwork = 20, 120

// FreeNetwork returns the first loopback network 127.n that no other deployment uses.
func FreeNetwork() (int, error) {
	for n := firstNetwork; n <= lastNetwork; n++ {
		listener, err := net.Listen("tcp", hostPort(fmt.Sprintf("127.%d.0.1", n), portControl))
		if err == nil {
			return n, listener.Close()
		}
	}
	return 0, errors.Errorf("every network from 127.%d to 127.%d is in use", firstNetwork, lastNetwork)
}

// callTimeout is the deadline of daemons and workers for one call to the platform.
const callTimeout = 2 * time.Second

// WriteDeployment writes into dir the bootstrap files of the daemons, vms.json with the entry VMs for the VM list,
// deployment.json, and processes.tsv with the name and command line of each process in start order.
func WriteDeployment(d Deployment, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	processes := []string{
		fmt.Sprintf("platform\tcurrantthread-standin platform --table-addr %s --objects-addr %s --vm-list-addr %s "+
			"--control-addr %s --vms %s", addrOf(d.TableURL), addrOf(d.ObjectsURL), addrOf(d.VMListURL),
			addrOf(d.ControlURL), filepath.Join(dir, "vms.json")),
	}
	for _, domain := range d.Domains {
		processes = append(processes, d.workersProcess(domain))
	}
	var vms []infra.VM
	for _, e := range d.Entries {
		vms = append(vms, infra.VM{
			ID: e.VM, Role: infra.RoleEntry, State: infra.VMLive, Region: e.Region, Domain: e.Domain,
			Addr: e.Inner, SchedAddr: e.SchedInner,
		})
		for _, daemon := range []string{"entry", "sched"} {
			file := filepath.Join(dir, e.VM+"-"+daemon+".toml")
			if err := writeBootstrap(file, d.bootstrap(e, daemon)); err != nil {
				return err
			}
			processes = append(processes, fmt.Sprintf("%s-%s\tcurrantthread-%s --config %s", e.VM, daemon, daemon, file))
		}
	}
	if err := writeJSONFile(filepath.Join(dir, "vms.json"), vms); err != nil {
		return err
	}
	if err := writeJSONFile(filepath.Join(dir, "deployment.json"), d); err != nil {
		return err
	}
	lines := strings.Join(processes, "\n") + "\n"
	return errors.Trace(os.WriteFile(filepath.Join(dir, "processes.tsv"), []byte(lines), 0o644))
}

func (d Deployment) workersProcess(domain DeployedDomain) string {
	return fmt.Sprintf("%s-workers\tcurrantthread-standin workers --region %s --domain %s --net %s --workers %d "+
		"--runners %d --service %s --worker-port %d --runner-port %d --control-addr %s --objects-url %s "+
		"--register-url %s --timeout %s", domain.Domain, domain.Region, domain.Domain, domain.Net, domain.Workers,
		domain.Workers, d.Service, portWorker, portRunner, addrOf(domain.ControlURL), d.ObjectsURL, d.ControlURL,
		callTimeout)
}

func addrOf(url string) string { return strings.TrimPrefix(url, "http://") }

func (d Deployment) bootstrap(e EntryVM, daemon string) settings.Bootstrap {
	b := settings.Bootstrap{
		VM: e.VM, Region: e.Region, Domain: e.Domain, InnerAddr: e.Inner, AdminAddr: e.Admin, CallerAddr: e.Caller,
		Platform: settings.Platform{
			TableURL: d.TableURL, ObjectsURL: d.ObjectsURL, VMListURL: d.VMListURL, Timeout: settings.Duration(callTimeout),
		},
	}
	if daemon == "sched" {
		b.InnerAddr, b.AdminAddr, b.CallerAddr, b.PollAddr = e.SchedInner, e.SchedAdmin, "", e.SchedPoll
	}
	return b
}

func writeBootstrap(file string, b settings.Bootstrap) error {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(b); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(file, out.Bytes(), 0o644))
}

func writeJSONFile(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(file, append(data, '\n'), 0o644))
}

// ReadDeployment reads a deployment.json written by WriteDeployment.
func ReadDeployment(file string) (Deployment, error) {
	var d Deployment
	data, err := os.ReadFile(file)
	if err != nil {
		return d, errors.Trace(err)
	}
	return d, errors.Annotatef(json.Unmarshal(data, &d), "%s", file)
}

// Admins returns the admin addresses of all entry daemons.
func (d Deployment) Admins() []string {
	var addrs []string
	for _, e := range d.Entries {
		addrs = append(addrs, e.Admin)
	}
	return addrs
}
