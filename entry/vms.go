package entry

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/settings"
)

// vmView is the information about entry VMs from the last VM list. It is immutable.
type vmView struct {
	// entryVMs and regionEntryVMs are the numbers of entry VMs in total and in this VM's region, including this VM.
	// Leaving ones count, because they hold connections until they stop.
	entryVMs, regionEntryVMs int
	// entryIDs is the set of IDs of the listed entry VMs; nil before the first list.
	entryIDs map[string]bool
	// lowestID is the lowest ID among them.
	lowestID string
}

// pollVMList polls the VM list until ctx ends. While the list is unavailable, the last one stays in use.
func (s *Server) pollVMList(ctx context.Context) {
	failing := false
	for {
		err := s.readVMList(ctx)
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

// HasVMList reports whether the VM list was read successfully at least once.
func (s *Server) HasVMList() bool { return s.view.Load().entryIDs != nil }

// vmListTimeout bounds one read of the VM list.
const vmListTimeout = 5 * time.Second

func (s *Server) readVMList(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := s.cfg.VMs.List(readCtx)
	if err != nil {
		s.metrics.vmListReads.WithLabelValues("failed").Inc()
		s.applySettings()
		return err
	}
	s.metrics.vmListReads.WithLabelValues("ok").Inc()
	s.UpdateVMs(vms)
	return nil
}

// UpdateVMs applies a VM list.
func (s *Server) UpdateVMs(vms []infra.VM) {
	view := &vmView{entryIDs: map[string]bool{}}
	upstreams := map[string][]infra.VM{}
	addEntryVM := func(id, region string) {
		if view.entryIDs[id] {
			return
		}
		view.entryIDs[id] = true
		view.entryVMs++
		if region == s.cfg.Region {
			view.regionEntryVMs++
		}
		if view.lowestID == "" || id < view.lowestID {
			view.lowestID = id
		}
	}
	// The list may be out of date, so this VM may be missing from it.
	addEntryVM(s.cfg.VM, s.cfg.Region)
	for _, vm := range vms {
		switch vm.Role {
		case infra.RoleEntry:
			addEntryVM(vm.ID, vm.Region)
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

// applySettings applies the settings that are not read for each request.
func (s *Server) applySettings() {
	effective := s.cfg.Settings()
	s.regionBudget.SetRate(s.regionRate(effective))
	for name := range effective.Services {
		s.addService(name, effective)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, svc := range s.services {
		svc.configure(serviceSettings(effective, name))
	}
}

// regionRate returns this VM's equal share of the bandwidth allowed for requests between regions, in bytes per second.
func (s *Server) regionRate(effective settings.Effective) int64 {
	rate := effective.Entry.InterRegionRate.BytesPerSecond() * int64(effective.Entry.InterRegionShare) / 100
	return rate / int64(max(s.view.Load().regionEntryVMs, 1))
}

// addService creates the state of a service if it does not exist. States are never removed, because a service that
// disappears from an outdated list usually returns.
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
