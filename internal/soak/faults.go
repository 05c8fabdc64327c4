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

// inject plays faults one after another; each lasts up to some seconds, and the next may begin before it ends.
func (s *soak) inject(ctx context.Context) {
	if s.cfg.killOnly {
		if wait.For(ctx, s.cfg.duration/3) {
			s.killOwner()
		}
		return
	}
	faults := []func(ctx context.Context) string{s.killNode, s.pauseNode, s.terminateNode, s.hangUpNode, s.breakStore, s.breakRunner,
		s.crashRunner, s.dropHistory}
	for wait.For(ctx, time.Duration(300+s.rng.IntN(1500))*time.Millisecond) {
		s.note(faults[s.rng.IntN(len(faults))](ctx))
	}
}

func (s *soak) note(fault string) {
	if fault != "" {
		s.summary.faults = append(s.summary.faults, fault)
	}
}

// later runs f after a random time of at most limit, also when the faults are over.
func (s *soak) later(limit time.Duration, f func()) {
	time.AfterFunc(time.Duration(s.rng.Int64N(int64(limit))), f)
}

func (s *soak) someNode() *process { return s.nodes[s.rng.IntN(len(s.nodes))] }

func (s *soak) restart(p *process, sig syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.end(sig)
	if err := p.start(s.cfg.program); err != nil {
		fmt.Fprintf(os.Stderr, "soak: restart %s: %v\n", p.name, err)
	}
}

func (s *soak) killOwner() {
	for _, p := range s.nodes {
		if p.owns() {
			s.note("kill " + p.name + ", the owner")
			s.restart(p, syscall.SIGKILL)
			return
		}
	}
}

func (s *soak) killNode(context.Context) string {
	p := s.someNode()
	s.restart(p, syscall.SIGKILL)
	return "kill " + p.name
}

func (s *soak) terminateNode(context.Context) string {
	p := s.someNode()
	s.restart(p, syscall.SIGTERM)
	return "terminate " + p.name
}

func (s *soak) pauseNode(context.Context) string {
	p := s.someNode()
	p.signal(syscall.SIGSTOP)
	s.later(6*time.Second, func() { p.signal(syscall.SIGCONT) })
	return "pause " + p.name
}

func (s *soak) hangUpNode(context.Context) string {
	p := s.someNode()
	p.signal(syscall.SIGHUP)
	return "SIGHUP " + p.name
}

func (s *soak) breakStore(context.Context) string {
	faults := []emulator.StoreFault{emulator.StoreRefuses, emulator.StoreSilent, emulator.StoreLosesAnswers, emulator.StoreAppliesLate}
	fault := faults[s.rng.IntN(len(faults))]
	s.world.store.SetFault(fault)
	s.later(5*time.Second, func() { s.world.store.SetFault(emulator.StoreWorks) })
	return fmt.Sprintf("store fault %d", fault)
}

func (s *soak) dropHistory(context.Context) string {
	s.world.store.DropHistory()
	return "store history dropped"
}

func (s *soak) breakRunner(context.Context) string {
	faults := []emulator.RunnerFault{emulator.RunnerCut, emulator.RunnerLosesAnswers, emulator.RunnerAppliesLate}
	fault := faults[s.rng.IntN(len(faults))]
	id := s.world.infos[s.rng.IntN(len(s.world.infos))].ID
	s.world.fleet.SetFault(id, fault)
	s.later(8*time.Second, func() { s.world.fleet.SetFault(id, emulator.RunnerWorks) })
	return fmt.Sprintf("runner fault %d on %s", fault, id)
}

func (s *soak) crashRunner(context.Context) string {
	id := s.world.infos[s.rng.IntN(len(s.world.infos))].ID
	s.world.fleet.Crash(id)
	s.later(4*time.Second, func() {
		if _, alive := s.world.fleet.Info(id); !alive {
			s.world.fleet.Restart(id)
		}
	})
	return "crash " + id
}
