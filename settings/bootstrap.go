// Package settings parses and validates the settings of daemons: the bootstrap file of one process, and the settings tree
// that operators keep in version control. The levels of the tree are deployment, region, failure domain and VM; each level
// inherits the values that it does not set.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"

	"github.com/juju/errors"
)

// Bootstrap holds what a daemon needs before it can read the settings tree.
type Bootstrap struct {
	// VM is the name of this VM in the VM list.
	VM     string `toml:"vm" doc:"Name of this VM as the VM list shows it."`
	Region string `toml:"region" doc:"Region of this VM."`
	Domain string `toml:"domain" doc:"Failure domain of this VM."`
	// CallerAddr is set for entry daemons only.
	CallerAddr string `toml:"caller_addr,omitempty" doc:"host:port that callers reach; entry daemons only."`
	InnerAddr  string `toml:"inner_addr" doc:"host:port for inner messages."`
	AdminAddr  string `toml:"admin_addr" doc:"host:port of metrics, health and, on entry daemons, the operators' API."`
	// PollAddr is set for sched daemons only.
	PollAddr string `toml:"poll_addr,omitempty" doc:"host:port that workers poll; sched daemons only."`
	// MemoryMB and MaxFDs bound what callers may hold on entry daemons.
	MemoryMB int64    `toml:"memory_mb,omitempty" default:"0" min:"0" max:"1048576" doc:"Memory of this VM in MB, of which callers may hold 30%; entry daemons only. 0: they may hold 512 MB."`
	MaxFDs   int64    `toml:"max_fds,omitempty" default:"0" min:"0" max:"1048576" doc:"Descriptors that the process may open, of which callers may use half of those beyond 200; entry daemons only. 0: they may use 16,384."`
	Platform Platform `toml:"platform"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableURL   string   `toml:"table_url" doc:"Base URL of the table service."`
	ObjectsURL string   `toml:"objects_url" doc:"Base URL of the object store."`
	VMListURL  string   `toml:"vm_list_url" doc:"Base URL of the VM list."`
	Timeout    Duration `toml:"timeout" default:"2s" min:"100ms" max:"1m" doc:"Deadline of one call."`
}

// LoadBootstrap reads a daemon's bootstrap file. The error is Problems if the file can be read but is invalid.
func LoadBootstrap(file string) (*Bootstrap, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "bootstrap file")
	}
	return ParseBootstrap(file, source)
}

// ParseBootstrap parses the contents of a bootstrap file; file is the name used in problems. Its error type is Problems.
func ParseBootstrap(file string, source []byte) (*Bootstrap, error) {
	t := reflect.TypeFor[Bootstrap]()
	leaves, problems := parseFile(file, source, t)
	bootstrap := newWithDefaults(t)
	apply(bootstrap, leaves)
	b := bootstrap.Interface().(Bootstrap)
	problems = append(problems, b.problems(file)...)
	if len(problems) > 0 {
		return nil, Problems(problems)
	}
	return &b, nil
}

// problems checks that required keys are set and that addresses are valid.
func (b *Bootstrap) problems(file string) []Problem {
	var problems []Problem
	required := []struct{ key, value string }{
		{"vm", b.VM}, {"region", b.Region}, {"domain", b.Domain},
		{"inner_addr", b.InnerAddr}, {"admin_addr", b.AdminAddr},
		{"platform.table_url", b.Platform.TableURL}, {"platform.objects_url", b.Platform.ObjectsURL},
		{"platform.vm_list_url", b.Platform.VMListURL},
	}
	for _, r := range required {
		if r.value == "" {
			problems = append(problems, Problem{File: file, Key: r.key, Message: "is missing"})
		}
	}
	for _, addr := range []struct{ key, value string }{
		{"caller_addr", b.CallerAddr}, {"inner_addr", b.InnerAddr}, {"admin_addr", b.AdminAddr}, {"poll_addr", b.PollAddr},
	} {
		if addr.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr.value); err != nil {
			message := fmt.Sprintf("%q is no address; write an IP address and a port, such as 127.0.0.1:7000", addr.value)
			problems = append(problems, Problem{File: file, Key: addr.key, Message: message})
		}
	}
	return problems
}

// LevelPath returns the path of this VM's level in the settings tree.
func (b *Bootstrap) LevelPath() string {
	return "/" + b.Region + "/" + b.Domain + "/" + b.VM
}
