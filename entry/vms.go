package entry

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/settings"
)

// vmView is what the VM list said last. It is immutable.
type vmView struct {
	// entryVMs and regionEntryVMs count the entry VMs everywhere and in this VM's region, this VM included. Leaving ones
	// count, because they hold connections until they are gone.
	entryVMs, regionEntryVMs int
	// live holds the IDs of the listed entry VMs; nil before the first list.
	live map[string]bool
	// first is the lowest ID among them.
	first string
}

// followVMs reads the VM list until ctx ends. The last list stays in use while the list is unavailable.
func (s *Server) followVMs(ctx context.Context) {
	failing := false
	for {
		err := s.readVMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if failed := err != nil; failed != failing {
			failing = failed
			if failed {
				s.cfg.Log.WithError(err).Warn("VM list is unavailable; the last list stays in use")
			} else {
				s.cfg.Log.Info("VM list is available again")
			}
		}
		if !wait.For(ctx, s.jitter.around(s.cfg.Settings().Entry.VMListInterval.D())) {
			return
		}
	}
}

// KnowsVMs reports whether the VM list was read at least once.
func (s *Server) KnowsVMs() bool { return s.view.Load().live != nil }

// vmListTimeout bounds one read of the VM list.
const vmListTimeout = 5 * time.Second

func (s *Server) readVMs(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := s.cfg.VMs.List(readCtx)
	if err != nil {
		s.metrics.vmListReads.WithLabelValues("failed").Inc()
		s.applySettings()
		return err
	}
	s.metrics.vmListReads.WithLabelValues("ok").Inc()
	s.Update(vms)
	return nil
}

// Update puts a VM list in force.
func (s *Server) Update(vms []infra.VM) {
	view := &vmView{live: map[string]bool{}}
	upstreams := map[string][]infra.VM{}
	entryVM := func(id, region string) {
		if view.live[id] {
			return
		}
		view.live[id] = true
		view.entryVMs++
		if region == s.cfg.Region {
			view.regionEntryVMs++
		}
		if view.first == "" || id < view.first {
			view.first = id
		}
	}
	// The list lags, so this VM may be missing from it.
	entryVM(s.cfg.VM, s.cfg.Region)
	for _, vm := range vms {
		switch vm.Role {
		case infra.RoleEntry:
			entryVM(vm.ID, vm.Region)
		case infra.RoleUpstream:
			upstreams[vm.Service] = append(upstreams[vm.Service], vm)
		}
	}
	s.view.Store(view)
	s.applySettings()
	for name := range upstreams {
		s.addService(name, s.cfg.Settings())
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, svc := range s.services {
		svc.update(upstreams[name], view.entryVMs)
	}
}

// applySettings puts the settings in force that are not read for each request.
func (s *Server) applySettings() {
	effective := s.cfg.Settings()
	s.bytes.SetRate(s.regionRate(effective))
	for name := range effective.Services {
		s.addService(name, effective)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, svc := range s.services {
		svc.configure(serviceSettings(effective, name))
	}
}

// regionRate returns this VM's equal share of what requests between regions may use, in bytes per second.
func (s *Server) regionRate(effective settings.Effective) int64 {
	rate := effective.Entry.InterRegionRate.BytesPerSecond() * int64(effective.Entry.InterRegionShare) / 100
	return rate / int64(max(s.view.Load().regionEntryVMs, 1))
}

// addService makes sure that the service has a state. States stay for the life of the process, because a service that
// vanishes from a lagging list usually returns.
func (s *Server) addService(name string, effective settings.Effective) {
	if name == "" || s.service(name) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[name] == nil {
		s.services[name] = newService(s, name, serviceSettings(effective, name))
	}
}

func serviceSettings(effective settings.Effective, name string) settings.Service {
	if conf, ok := effective.Services[name]; ok {
		return conf
	}
	return settings.DefaultService()
}
