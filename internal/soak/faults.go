package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
)

const (
	// maxGoneForGood bounds the runners that never come back, so that the remaining ones have room for all tasks.
	maxGoneForGood = 2
	// maxRunnersAtOnce bounds the runners that a fault hits at once.
	maxRunnersAtOnce = 3
	// maxClockStep bounds how far the time of day of a VM steps back.
	maxClockStep = time.Minute
	// longOutage bounds the longest faults. It exceeds the tolerance of an owner without the store.
	longOutage = 16 * time.Second
	// closeShare is the share of faults that follow the previous one within maxClose; the others follow within maxPause.
	closeShare = 0.6
	maxClose   = 1500 * time.Millisecond
	maxPause   = 4 * time.Second
	// quietTail bounds how long faults last after the last submission.
	quietTail = 6 * time.Second
	// maxLinkDelay bounds the delay of each block of data on a slow link.
	maxLinkDelay = 400 * time.Millisecond
)

// plan is what a run draws from.
type plan struct {
	faults []func(*soak) string
	// without are the kinds of job that are left out.
	without []string
	// overload lets best-effort jobs arrive faster than the runners can do them, instead of the other kinds of job.
	overload bool
	// noLulls leaves serving tasks at their latency target all the time.
	noLulls bool
}

var (
	runnerFaults = []func(*soak) string{
		(*soak).breakRunners, (*soak).drainRunners, (*soak).drainBesideLostCommands, (*soak).cutRunners, (*soak).cutRack,
		(*soak).unlistRunners,
	}
	otherFaults = []func(*soak) string{
		(*soak).killNode, (*soak).killOwner, (*soak).pauseNode, (*soak).terminateNode, (*soak).hangUpNode, (*soak).breakStore,
		(*soak).dropHistory, (*soak).slowLinks, (*soak).resetLinks, (*soak).silenceConnections, (*soak).cutStore, (*soak).cutPeers,
		(*soak).killOwnerBesideDarkRunner, (*soak).killOwnerBesideLostRunner, (*soak).silenceStoreAtTakeover,
	}
	overloadFaults = []func(*soak) string{
		(*soak).killOwner, (*soak).terminateOwner, (*soak).pauseNode, (*soak).breakStore, (*soak).killOwnerBesideLostRunner, (*soak).crashRunners,
	}
	crashes = []func(*soak) string{(*soak).crashRunners}
	cuts    = []func(*soak) string{(*soak).cutNode}
)

// plans are what runs may play. SEEDS.md names the open failures that the plans stable and kill-owner leave out.
var plans = map[string]plan{
	"all":        {faults: slices.Concat(runnerFaults, otherFaults, crashes, cuts)},
	"cuts":       {faults: cuts},
	"runners":    {faults: slices.Concat(runnerFaults, crashes)},
	"stable":     {faults: slices.Concat(runnerFaults, otherFaults), without: []string{"scheduled"}},
	"kill-owner": {faults: []func(*soak) string{(*soak).killOwner}, without: []string{"scheduled"}},
	"overload":   {faults: overloadFaults, overload: true},
	"no-lulls":   {faults: overloadFaults, overload: true, noLulls: true},
	"power": {faults: []func(*soak) string{(*soak).killAllNodes, (*soak).breakStore, (*soak).dropHistory, (*soak).killAllNodes,
		(*soak).cutStore}},
}

// inject injects faults until ctx ends. Each lasts up to some seconds, and the next may begin before it ends.
func (s *soak) inject(ctx context.Context) {
	faults := s.plan.faults
	for wait.For(ctx, s.pause()) {
		at := time.Now()
		text := faults[s.rng.IntN(len(faults))](s)
		s.summary.faults = append(s.summary.faults, fmt.Sprintf("%s (%.1fs) %s", at.Format("15:04:05.000"), at.Sub(s.began).Seconds(), text))
	}
	if !s.plan.overload && s.rng.IntN(2) == 0 {
		// Faults that end while no more jobs arrive show tasks that only other events would start.
		time.Sleep(s.random(quietTail))
	}
}

func (s *soak) pause() time.Duration {
	if s.rng.Float64() < closeShare {
		return s.random(maxClose)
	}
	return s.random(maxPause)
}

// random returns a random time from a tenth of limit to limit.
func (s *soak) random(limit time.Duration) time.Duration {
	return limit/10 + time.Duration(s.rng.Int64N(int64(limit*9/10)))
}

// undo ends a fault.
type undo struct {
	once sync.Once
	f    func()
}

// undoAfter runs f after d, or when all faults are cleared if that is earlier.
func (s *soak) undoAfter(d time.Duration, f func()) {
	u := &undo{f: f}
	s.undos = append(s.undos, u)
	time.AfterFunc(d, func() { u.once.Do(u.f) })
}

// clearFaults ends all faults except the loss of runners that are gone for good.
func (s *soak) clearFaults() {
	for _, u := range s.undos {
		u.once.Do(u.f)
	}
	for _, p := range s.nodes {
		s.start(p)
	}
}

func (s *soak) randomNode() *process { return s.nodes[s.rng.IntN(len(s.nodes))] }

// owner returns the node that owns the cell, or nil.
func (s *soak) owner() *process {
	for _, p := range s.nodes {
		if p.ownsCell() {
			return p
		}
	}
	return nil
}

// ownerOrRandom returns the node that owns the cell, or a random one if none does.
func (s *soak) ownerOrRandom() *process {
	if owner := s.owner(); owner != nil {
		return owner
	}
	return s.randomNode()
}

// randomRunner returns the ID of a runner that is not gone for good.
func (s *soak) randomRunner() string {
	infos := s.platform.infos[len(s.gone):]
	return infos[s.rng.IntN(len(infos))].ID
}

func (s *soak) start(p *process) {
	if err := p.start(s.cfg.program); err != nil {
		fmt.Fprintf(os.Stderr, "soak: start %s: %v\n", p.name, err)
	}
}

// endNode ends a node with a signal and starts it again after a time below limit.
func (s *soak) endNode(p *process, sig syscall.Signal, limit time.Duration) string {
	down := s.random(limit)
	if sig == syscall.SIGKILL {
		p.end(sig)
	} else {
		go p.end(sig)
	}
	s.undoAfter(down, func() { s.start(p) })
	return fmt.Sprintf("signal %d to %s, started again after %v", sig, p.name, down.Round(time.Millisecond))
}

// downtime returns the limit of the time after which a killed node starts again: mostly short, sometimes long.
func (s *soak) downtime() time.Duration {
	if s.rng.IntN(3) == 0 {
		return longOutage
	}
	return time.Second
}

func (s *soak) killNode() string  { return s.endNode(s.randomNode(), syscall.SIGKILL, s.downtime()) }
func (s *soak) killOwner() string { return s.endNode(s.ownerOrRandom(), syscall.SIGKILL, s.downtime()) }

// killAllNodes kills all nodes at one moment, as a loss of power does.
func (s *soak) killAllNodes() string {
	var ended sync.WaitGroup
	for _, p := range s.nodes {
		ended.Go(func() { p.end(syscall.SIGKILL) })
	}
	ended.Wait()
	for _, p := range s.nodes {
		s.undoAfter(s.random(time.Second), func() { s.start(p) })
	}
	return "all nodes killed"
}

func (s *soak) terminateNode() string {
	return s.endNode(s.randomNode(), syscall.SIGTERM, grace+time.Second)
}

func (s *soak) terminateOwner() string {
	return s.endNode(s.ownerOrRandom(), syscall.SIGTERM, grace+time.Second)
}

// during begins a fault and ends it after a random time up to limit.
func (s *soak) during(limit time.Duration, text string, begin, end func()) string {
	begin()
	lasts := s.random(limit)
	s.undoAfter(lasts, end)
	return fmt.Sprintf("%s for %v", text, lasts.Round(time.Millisecond))
}

func (s *soak) pauseNode() string {
	p := s.ownerOrRandom()
	if s.rng.IntN(2) == 0 {
		p = s.randomNode()
	}
	return s.during(10*time.Second, "pause "+p.name, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

func (s *soak) hangUpNode() string {
	p := s.randomNode()
	p.signal(syscall.SIGHUP)
	return "SIGHUP " + p.name
}

func (s *soak) setStoreFault(fault emulator.StoreFault, limit time.Duration) string {
	set := s.platform.store.SetFault
	return s.during(limit, fmt.Sprintf("store fault %d", fault), func() { set(fault) }, func() { set(emulator.StoreWorks) })
}

func (s *soak) breakStore() string {
	return s.setStoreFault(emulator.StoreRefuses+emulator.StoreFault(s.rng.IntN(4)), 5*time.Second)
}

func (s *soak) dropHistory() string {
	s.platform.store.DropHistory()
	return "store history dropped"
}

// onRunners injects a fault of one runner into some at once.
func (s *soak) onRunners(fault func(id string) string) string {
	var texts []string
	for range 1 + s.rng.IntN(maxRunnersAtOnce) {
		texts = append(texts, fault(s.randomRunner()))
	}
	return strings.Join(texts, " and ")
}

// randomCommandFault returns a fault of commands, or none in half of the cases.
func (s *soak) randomCommandFault() emulator.CommandFault {
	if s.rng.IntN(2) == 0 {
		return emulator.CommandWorks
	}
	return emulator.CommandRequestLost + emulator.CommandFault(s.rng.IntN(3))
}

// breakCommands lets some kinds of a runner's commands get no response.
func (s *soak) breakCommands(id string) string {
	set := s.platform.fleet.SetCommandFaults
	faults := emulator.CommandFaults{Start: s.randomCommandFault(), Stop: s.randomCommandFault(),
		Hold: min(s.randomCommandFault(), s.randomCommandFault(), emulator.CommandResponseLost)}
	return s.during(10*time.Second, fmt.Sprintf("command faults %v on %s", faults, id), func() { set(id, faults) }, func() { set(id, emulator.CommandFaults{}) })
}

func (s *soak) breakRunners() string { return s.onRunners(s.breakCommands) }

// restartIfDown starts a runner's process again unless it runs or is gone for good.
func (s *soak) restartIfDown(id string, clockStep time.Duration) {
	s.mu.Lock()
	gone := s.gone[id]
	s.mu.Unlock()
	if _, alive := s.platform.fleet.Info(id); !alive && !gone {
		s.platform.fleet.SetDraining(id, false)
		s.platform.fleet.RestartAt(id, time.Now().Add(clockStep).UnixMilli())
	}
}

// endRunner ends a runner's process. Its connections are reset, or become silent if its VM is lost.
func (s *soak) endRunner(id string, loseVM bool) {
	s.platform.fleet.Crash(id)
	change := (*emulator.Link).Abort
	if loseVM {
		change = (*emulator.Link).Silence
	}
	s.platform.network.between("", id).each(change)()
}

// crash ends a runner's process and starts it again. The process alone is back at once, so that its service discovery row never
// disappears. If its VM is lost as well, its time of day may step back in between.
func (s *soak) crash(id string) string {
	if s.rng.IntN(2) == 0 {
		return s.during(100*time.Millisecond, "crash "+id, func() { s.endRunner(id, false) }, func() { s.restartIfDown(id, 0) })
	}
	step := time.Duration(0)
	if s.rng.IntN(2) == 0 {
		step = -s.random(maxClockStep)
	}
	return s.during(8*time.Second, fmt.Sprintf("VM of %s lost, clock steps by %v", id, step.Round(time.Second)),
		func() { s.endRunner(id, true) }, func() { s.restartIfDown(id, step) })
}

func (s *soak) crashRunners() string { return s.onRunners(s.crash) }

// drain lets a runner drain, leave and return under its ID.
func (s *soak) drain(id string) string {
	leaves := s.random(5 * time.Second)
	back := leaves + s.random(5*time.Second)
	s.platform.fleet.SetDraining(id, true)
	s.undoAfter(leaves, func() { s.endRunner(id, false) })
	s.undoAfter(back, func() { s.restartIfDown(id, 0) })
	return fmt.Sprintf("drain %s, down from %v to %v", id, leaves.Round(time.Millisecond), back.Round(time.Millisecond))
}

func (s *soak) drainRunners() string { return s.onRunners(s.drain) }

// drainBesideLostCommands lets half of the runners drain one after another while their commands get no response, so that the
// long-running tasks of one move to the next.
func (s *soak) drainBesideLostCommands() string {
	var texts, ids []string
	for range runnerCount / 2 {
		id := s.randomRunner()
		ids, texts = append(ids, id), append(texts, s.breakCommands(id))
	}
	for _, id := range ids {
		time.Sleep(s.random(500 * time.Millisecond))
		texts = append(texts, s.drain(id))
	}
	return strings.Join(texts, " and ")
}

// unlistRunners lets the service discovery rows of runners lapse while the runners work.
func (s *soak) unlistRunners() string {
	return s.onRunners(func(id string) string {
		return s.during(8*time.Second, "row lapses of "+id, func() { s.platform.setListed(id, false) }, func() { s.platform.setListed(id, true) })
	})
}

// hold holds back the data on links in a random direction or in both. Afterwards it is delivered late, or the connections are
// reset.
func (s *soak) hold(links network, name string, limit time.Duration) string {
	d, lost := emulator.Direction(1+s.rng.IntN(int(emulator.BothDirections))), s.rng.IntN(2) == 0
	return s.during(limit, fmt.Sprintf("%s: hold %d, lost %v", name, d, lost), links.each(func(l *emulator.Link) { l.Hold(d) }),
		links.each(func(l *emulator.Link) {
			if lost {
				l.Abort()
			}
			l.Hold(0)
		}))
}

func (s *soak) cutRunners() string {
	return s.onRunners(func(id string) string {
		return s.hold(s.platform.network.between("", id), "links to "+id, 10*time.Second)
	})
}

// cutRack cuts all runners of a rack, so that tasks that need its label wait.
func (s *soak) cutRack() string {
	var links network
	rack := rackLabel(s.rng.IntN(len(s.platform.infos)))
	for _, info := range s.platform.infos {
		if slices.Contains(info.Labels, rack) {
			links = append(links, s.platform.network.between("", info.ID)...)
		}
	}
	return s.hold(links, "links to rack "+rack, 8*time.Second)
}

func (s *soak) cutStore() string {
	p := s.randomNode()
	return s.hold(s.platform.network.between(p.name, storeName), "link of "+p.name+" to the store", 6*time.Second)
}

// cutNode cuts a node, mostly the owner, from everything.
func (s *soak) cutNode() string {
	p := s.ownerOrRandom()
	return s.hold(s.platform.network.between(p.name, ""), "all links of "+p.name, longOutage)
}

func (s *soak) cutPeers() string {
	from, to := s.randomNode(), s.randomNode()
	return s.hold(s.platform.network.between(from.name, to.name), "link of "+from.name+" to "+to.name, 8*time.Second)
}

// randomLinks returns all links of a node or to a runner.
func (s *soak) randomLinks() (network, string) {
	if s.rng.IntN(2) == 0 {
		p := s.randomNode()
		return s.platform.network.between(p.name, ""), "links of " + p.name
	}
	id := s.randomRunner()
	return s.platform.network.between("", id), "links to " + id
}

func (s *soak) slowLinks() string {
	links, name := s.randomLinks()
	delay := s.random(maxLinkDelay)
	return s.during(6*time.Second, fmt.Sprintf("%s: delay %v", name, delay.Round(time.Millisecond)),
		links.each(func(l *emulator.Link) { l.Delay(delay) }), links.each(func(l *emulator.Link) { l.Delay(0) }))
}

func (s *soak) resetLinks() string {
	links, name := s.randomLinks()
	return s.during(2*time.Second, name+": reset", links.each(func(l *emulator.Link) {
		l.Refuse(true)
		l.Abort()
	}), links.each(func(l *emulator.Link) { l.Refuse(false) }))
}

// silenceConnections silences the open connections of links; new ones work.
func (s *soak) silenceConnections() string {
	links, name := s.randomLinks()
	return s.during(longOutage, name+": open connections are silent", links.each((*emulator.Link).Silence), links.each((*emulator.Link).Abort))
}

// killOwnerBesideDarkRunner kills the owner, which is away for long, while a runner cannot be reached.
func (s *soak) killOwnerBesideDarkRunner() string {
	id := s.randomRunner()
	held := s.hold(s.platform.network.between("", id), "links to "+id, longOutage)
	time.Sleep(s.random(time.Second))
	return held + " and " + s.endNode(s.ownerOrRandom(), syscall.SIGKILL, longOutage)
}

// killOwnerBesideLostRunner kills the owner at the time at which a runner is lost for good.
func (s *soak) killOwnerBesideLostRunner() string {
	if len(s.gone) == maxGoneForGood {
		return s.killOwner()
	}
	id := s.platform.infos[len(s.gone)].ID
	s.mu.Lock()
	s.gone[id] = true
	s.mu.Unlock()
	s.endRunner(id, true)
	time.Sleep(s.random(time.Second))
	return id + " is gone for good and " + s.endNode(s.ownerOrRandom(), syscall.SIGKILL, s.downtime())
}

// silenceStoreAtTakeover kills the owner and makes the store silent while another node takes over.
func (s *soak) silenceStoreAtTakeover() string {
	killed := s.endNode(s.ownerOrRandom(), syscall.SIGKILL, longOutage)
	time.Sleep(s.random(4 * time.Second))
	return killed + " and " + s.setStoreFault(emulator.StoreSilent, 4*time.Second)
}
