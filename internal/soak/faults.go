package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
)

// inject injects faults one after another. Each lasts up to a few seconds, and the next may begin before it ends.
func (s *soak) inject(ctx context.Context) {
	if s.cfg.killOwnerOnly {
		if wait.For(ctx, s.cfg.duration/3) {
			s.killOwner()
		}
		return
	}
	faults := []func(ctx context.Context) string{s.killNode, s.pauseNode, s.terminateNode, s.hangUpNode, s.breakStore, s.breakRunner,
		s.crashRunner, s.dropHistory}
	for wait.For(ctx, time.Duration(300+s.rng.IntN(1500))*time.Millisecond) {
		s.recordFault(faults[s.rng.IntN(len(faults))](ctx))
	}
}

func (s *soak) recordFault(fault string) {
	if fault != "" {
		s.summary.faults = append(s.summary.faults, fault)
	}
}

// afterRandomDelay runs f after a random time below limit, even if ctx has ended by then.
func (s *soak) afterRandomDelay(limit time.Duration, f func()) {
	time.AfterFunc(time.Duration(s.rng.Int64N(int64(limit))), f)
}

func (s *soak) randomNode() *process { return s.nodes[s.rng.IntN(len(s.nodes))] }

func (s *soak) restart(p *process, sig syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signalAndWait(sig)
	if err := p.start(s.cfg.program); err != nil {
		fmt.Fprintf(os.Stderr, "soak: restart %s: %v\n", p.name, err)
	}
}

func (s *soak) killOwner() {
	for _, p := range s.nodes {
		if p.ownsCell() {
			s.recordFault("kill " + p.name + ", the owner")
			s.restart(p, syscall.SIGKILL)
			return
		}
	}
}

func (s *soak) killNode(context.Context) string {
	p := s.randomNode()
	s.restart(p, syscall.SIGKILL)
	return "kill " + p.name
}

func (s *soak) terminateNode(context.Context) string {
	p := s.randomNode()
	s.restart(p, syscall.SIGTERM)
	return "terminate " + p.name
}

func (s *soak) pauseNode(context.Context) string {
	p := s.randomNode()
	p.signal(syscall.SIGSTOP)
	s.afterRandomDelay(6*time.Second, func() { p.signal(syscall.SIGCONT) })
	return "pause " + p.name
}

func (s *soak) hangUpNode(context.Context) string {
	p := s.randomNode()
	p.signal(syscall.SIGHUP)
	return "SIGHUP " + p.name
}

func (s *soak) breakStore(context.Context) string {
	faults := []emulator.StoreFault{emulator.StoreRefuses, emulator.StoreSilent, emulator.StoreLosesResponses, emulator.StoreAppliesLate}
	fault := faults[s.rng.IntN(len(faults))]
	s.platform.store.SetFault(fault)
	s.afterRandomDelay(5*time.Second, func() { s.platform.store.SetFault(emulator.StoreWorks) })
	return fmt.Sprintf("store fault %d", fault)
}

func (s *soak) dropHistory(context.Context) string {
	s.platform.store.DropHistory()
	return "store history dropped"
}

func (s *soak) breakRunner(context.Context) string {
	faults := []emulator.RunnerFault{emulator.RunnerUnreachable, emulator.RunnerLosesResponses, emulator.RunnerAppliesLate}
	fault := faults[s.rng.IntN(len(faults))]
	id := s.platform.infos[s.rng.IntN(len(s.platform.infos))].ID
	s.platform.fleet.SetFault(id, fault)
	s.afterRandomDelay(8*time.Second, func() { s.platform.fleet.SetFault(id, emulator.RunnerWorks) })
	return fmt.Sprintf("runner fault %d on %s", fault, id)
}

func (s *soak) crashRunner(context.Context) string {
	id := s.platform.infos[s.rng.IntN(len(s.platform.infos))].ID
	s.platform.fleet.Crash(id)
	s.afterRandomDelay(4*time.Second, func() {
		if _, alive := s.platform.fleet.Info(id); !alive {
			s.platform.fleet.Restart(id)
		}
	})
	return "crash " + id
}
