// Package requestsim is a discrete-event simulation of the callers, entry VMs and runners of one service. The choice of
// runners, the admission queue and the budgets run the production code of packages route and limit; the network, the
// runners and the order of steps in an entry VM are simulated. Time is virtual, and all randomness derives from a seed.
package requestsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
)

// FailureDomain is a failure domain with its numbers of entry VMs and runners.
type FailureDomain struct {
	Region, Domain   string
	Entries, Runners int
}

// Config describes a simulation.
type Config struct {
	Seed    uint64
	Domains []FailureDomain
	// Slots and Connections are the limits of each runner.
	Slots, Connections int
	// LocalDelay, DomainDelay and RegionDelay are the one-way delays within a failure domain, between failure domains of
	// one region, and between regions.
	LocalDelay, DomainDelay, RegionDelay time.Duration
	// ServiceTime is the mean service time of a request at a runner; ServiceVariation is its standard deviation divided by
	// the mean. The distribution is log-normal.
	ServiceTime      time.Duration
	ServiceVariation float64
	// Policy returns the policy of one entry VM; nil keeps the policy of Route.
	Policy func(sim *Simulation, entry int) route.Policy
	// Route holds the other parameters of the endpoint sets. Its Seed is overwritten, and its Policy too if Policy is set.
	Route route.Config
	// NoReports makes runners respond without a load report.
	NoReports bool
	// Concurrency and Queue are the admission limits of each entry VM.
	Concurrency, Queue int
	// Timeout is the timeout of a request that specifies none.
	Timeout time.Duration
	// MaxRetries limits the retries of one request; RetryPercent and RetryFloor set the retry budget of each entry VM.
	MaxRetries, RetryPercent, RetryFloor int
	// ConnectTimeout is the time after which connecting across a cut fails.
	ConnectTimeout time.Duration
	// ListLag is the time until the VM list shows that a VM leaves; ListInterval is the time between reads of the list.
	ListLag, ListInterval time.Duration
	// LinkRate is the byte budget of each entry VM for requests to other regions, in bytes per second; RequestBytes is the
	// size of a request with its response. If RequestBytes is 0, requests between regions are not limited.
	LinkRate, RequestBytes int64
}

// Mode is the behaviour of a runner.
type Mode uint8

const (
	// ModeOK serves requests.
	ModeOK Mode = iota
	// ModeDead refuses connections.
	ModeDead
	// ModeFailing responds to every request with an error after errorLatency.
	ModeFailing
	// ModeSilent accepts requests and never responds.
	ModeSilent
	// ModeLeaving completes the requests that it has and refuses new ones as leaving.
	ModeLeaving
)

// Runner is one upstream.
type Runner struct {
	VM   infra.VM
	Mode Mode
	// Slowdown multiplies service times; 1 is normal.
	Slowdown float64
	// Slots is the number of requests that the runner really processes at once; VM.Slots is the number that it reports.
	Slots int
	// Assigned counts the attempts sent to the runner; LastSent is when the last one was sent.
	Assigned int64
	LastSent time.Duration

	leavingSince time.Duration
	leaving      bool
	running      int
	queue        []*attempt
	latency      [latencyLevels]averageLatency // indexed by the requests in flight when a request arrives
}

// Running returns the number of requests that the runner is processing.
func (r *Runner) Running() int { return r.running }

// Queued returns the number of requests that wait in the runner.
func (r *Runner) Queued() int { return len(r.queue) }

// latencyLevels is the number of levels of requests in flight for which a runner keeps separate latency averages.
const latencyLevels = 64

// latencyMaxAge is the age from which on a latency average is ignored.
const latencyMaxAge = time.Second

type averageLatency struct {
	average float64 // nanoseconds
	at      time.Duration
}

// latencyAt returns the average latency of requests that arrived when inFlight requests were at the runner, or when the
// nearest lower number with a recent average was. It returns 0 if there is no recent average.
func (r *Runner) latencyAt(now time.Duration, inFlight int) time.Duration {
	for level := min(inFlight, latencyLevels-1); level >= 0; level-- {
		if l := r.latency[level]; l.average > 0 && now-l.at < latencyMaxAge {
			return time.Duration(l.average)
		}
	}
	return 0
}

// Entry is one entry VM.
type Entry struct {
	Region, Domain string
	Set            *route.Set

	index      int
	queue      *limit.Queue
	retries    *limit.RetryBudget
	bytes      *limit.ByteBudget
	processSeq [2]int // sequence number of the current arrival process of each class
}

// Stats counts the requests of one class.
type Stats struct {
	Latency *hdrhistogram.Histogram // microseconds, of requests that were not shed
	Sent    int64
	OK      int64
	Failed  int64 // error responses and timeouts
	Shed    int64 // refused as not run by admission
	NoRoute int64 // refused as not run because no runner was available
	Retries int64
	Crossed int64 // attempts sent to another region
	MaxWait time.Duration
}

// Simulation is a running simulation. It is not safe for concurrent use.
type Simulation struct {
	Config  Config
	Entries []*Entry
	Runners []*Runner
	Rand    *rand.Rand
	// Stats is indexed by class and counts requests that arrive at or after MeasureFrom.
	Stats       [2]*Stats
	MeasureFrom time.Duration

	epoch  time.Time
	now    time.Duration
	seq    int64
	events eventHeap
	byID   map[string]*Runner
	cut    map[[2]string]bool
	// logMean and logStdDev are the parameters of the log-normal service time.
	logMean   float64
	logStdDev float64
}

// New returns a simulation at virtual time 0.
func New(cfg Config) *Simulation {
	sim := &Simulation{Config: cfg, Rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), byID: map[string]*Runner{},
		cut: map[[2]string]bool{}, epoch: time.Date(2027, 3, 7, 8, 0, 0, 0, time.UTC)}
	for class := range sim.Stats {
		sim.Stats[class] = &Stats{Latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	}
	variance := math.Log(1 + cfg.ServiceVariation*cfg.ServiceVariation)
	sim.logStdDev = math.Sqrt(variance)
	sim.logMean = math.Log(float64(cfg.ServiceTime)) - variance/2
	for _, domain := range cfg.Domains {
		sim.addRunners(domain)
	}
	for _, domain := range cfg.Domains {
		sim.addEntries(domain)
	}
	if cfg.ListInterval > 0 {
		sim.scheduleListUpdates()
	}
	return sim
}

func (sim *Simulation) addRunners(domain FailureDomain) {
	for i := range domain.Runners {
		id := fmt.Sprintf("%s-%02d", domain.Domain, i)
		r := &Runner{Slowdown: 1, Slots: sim.Config.Slots, VM: infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive,
			Region: domain.Region, Domain: domain.Domain, Addr: id + ":7000", Slots: sim.Config.Slots,
			Connections: sim.Config.Connections}}
		sim.Runners = append(sim.Runners, r)
		sim.byID[id] = r
	}
}

func (sim *Simulation) addEntries(domain FailureDomain) {
	for range domain.Entries {
		cfg := sim.Config.Route
		cfg.Seed = sim.Rand.Uint64()
		index := len(sim.Entries)
		e := &Entry{Region: domain.Region, Domain: domain.Domain, index: index}
		sim.Entries = append(sim.Entries, e)
		if sim.Config.Policy != nil {
			cfg.Policy = sim.Config.Policy(sim, index)
		}
		e.Set = route.NewSetAt(sim.Time(), route.Locality{Region: domain.Region, Domain: domain.Domain}, cfg)
		e.Set.UpdateAt(sim.Time(), sim.vmList())
		e.queue = limit.NewQueue(sim.Config.Concurrency, sim.Config.Queue)
		e.retries = limit.NewRetryBudget(sim.Config.RetryPercent, sim.Config.RetryFloor)
		e.bytes = limit.NewByteBudget(sim.Config.LinkRate)
	}
}

// Now returns the virtual time since the start.
func (sim *Simulation) Now() time.Duration { return sim.now }

// Time returns the virtual time as an absolute time.
func (sim *Simulation) Time() time.Time { return sim.epoch.Add(sim.now) }

// Runner returns the runner with the given ID, or nil.
func (sim *Simulation) Runner(id string) *Runner { return sim.byID[id] }

// At runs f at a virtual time, or now if that time has passed.
func (sim *Simulation) At(at time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: max(at, sim.now), seq: sim.seq, run: f})
}

// After runs f after a virtual delay.
func (sim *Simulation) After(delay time.Duration, f func()) { sim.At(sim.now+delay, f) }

// Run processes all events up to a virtual time.
func (sim *Simulation) Run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// SetMode changes the mode of a runner. The responses to requests in progress at a dead or silent runner are lost.
func (sim *Simulation) SetMode(r *Runner, mode Mode) {
	r.Mode = mode
	r.leaving = mode == ModeLeaving
	r.leavingSince = sim.now
}

// SetCut cuts the connection between two regions, or restores it.
func (sim *Simulation) SetCut(a, b string, cut bool) {
	sim.cut[[2]string{a, b}] = cut
	sim.cut[[2]string{b, a}] = cut
}

// Delay returns the one-way delay between an entry VM and a runner.
func (sim *Simulation) Delay(e *Entry, r *Runner) time.Duration {
	switch {
	case e.Region != r.VM.Region:
		return sim.Config.RegionDelay
	case e.Domain != r.VM.Domain:
		return sim.Config.DomainDelay
	default:
		return sim.Config.LocalDelay
	}
}

// vmList returns the VM list that entry VMs read, in which leaving runners appear after ListLag.
func (sim *Simulation) vmList() []infra.VM {
	vms := make([]infra.VM, len(sim.Runners))
	for i, r := range sim.Runners {
		vms[i] = r.VM
		if r.leaving && sim.now-r.leavingSince >= sim.Config.ListLag {
			vms[i].State = infra.VMLeaving
		}
	}
	return vms
}

func (sim *Simulation) scheduleListUpdates() {
	sim.After(sim.Config.ListInterval, func() {
		for _, e := range sim.Entries {
			e.Set.UpdateAt(sim.Time(), sim.vmList())
		}
		sim.scheduleListUpdates()
	})
}

func (sim *Simulation) serviceTime(r *Runner) time.Duration {
	return time.Duration(math.Exp(sim.logMean+sim.logStdDev*sim.Rand.NormFloat64()) * r.Slowdown)
}

type event struct {
	at  time.Duration
	seq int64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}
