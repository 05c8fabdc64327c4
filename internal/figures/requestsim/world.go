// Package requestsim is a discrete-event model of callers, entry VMs and runners of one service. The choice of runners,
// the admission queue and the budgets are the real code of packages route and limit; the network, the runners and the
// order of steps in an entry VM are a model. Time is virtual and every draw comes from the seed.
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

// Place is a failure domain with its entry VMs and runners.
type Place struct {
	Region, Domain   string
	Entries, Runners int
}

// Config describes a world.
type Config struct {
	Seed   uint64
	Places []Place
	// Slots and Connections are those of each runner.
	Slots, Connections int
	// DomainDelay and RegionDelay are one-way delays between failure domains of one region and between regions.
	// LocalDelay is the one-way delay within a failure domain.
	LocalDelay, DomainDelay, RegionDelay time.Duration
	// Service is the mean time that a runner works on a request, ServiceVariation its standard deviation over its mean.
	// The distribution is log-normal.
	Service          time.Duration
	ServiceVariation float64
	// Policy makes the policy of one entry VM.
	Policy func(w *World, entry int) route.Policy
	// Route holds further parameters of the sets; Policy and Seed are overwritten.
	Route route.Config
	// NoReports makes runners answer without their load.
	NoReports bool
	// Concurrency and Queue are the admission limits of each entry VM.
	Concurrency, Queue int
	// Timeout is the deadline of a request that names none.
	Timeout time.Duration
	// MaxRetries, RetryPercent and RetryFloor bound retries.
	MaxRetries, RetryPercent, RetryFloor int
	// ConnectTimeout is the time after which a connection across a cut fails.
	ConnectTimeout time.Duration
	// ListLag and ListInterval describe the VM list.
	ListLag, ListInterval time.Duration
	// LinkRate is what each entry VM may send to other regions, in bytes per second, and Size the bytes of a request with
	// its answer. A Size of 0 means that crossing is not limited.
	LinkRate, Size int64
}

// Mode is how a runner behaves.
type Mode uint8

const (
	// ModeOK answers.
	ModeOK Mode = iota
	// ModeDead refuses connections.
	ModeDead
	// ModeFailing answers every request with an error at once.
	ModeFailing
	// ModeSilent accepts requests and never answers.
	ModeSilent
	// ModeLeaving finishes what it has and refuses new requests as leaving.
	ModeLeaving
)

// Runner is one upstream.
type Runner struct {
	VM   infra.VM
	Mode Mode
	// Slowdown multiplies service times; 1 is usual.
	Slowdown float64
	// Slots is how many requests the runner truly works on at once; VM.Slots is what it says.
	Slots int
	// Assigned counts requests that reached the runner, Last is when the newest was sent to it.
	Assigned int64
	Last     time.Duration

	leftAt  time.Duration
	left    bool
	running int
	queue   []*attempt
	latency [latencyLevels]levelLatency // by the requests in flight at a request's arrival
}

// Running returns the requests that the runner works on, and Queued those that wait in it.
func (r *Runner) Running() int { return r.running }

// Queued returns the requests that wait in the runner.
func (r *Runner) Queued() int { return len(r.queue) }

// latencyLevels is the number of requests in flight that a runner's averages of latency tell apart.
const latencyLevels = 64

// latencyFresh is the age at which an average of latency counts no more.
const latencyFresh = time.Second

type levelLatency struct {
	average float64 // nanoseconds
	at      time.Duration
}

// latencyAt returns the runner's average of the time that requests spend in it, of those that found inFlight requests
// or the nearest number below for which there is a fresh average.
func (r *Runner) latencyAt(now time.Duration, inFlight int) time.Duration {
	for level := min(inFlight, latencyLevels-1); level >= 0; level-- {
		if l := r.latency[level]; l.average > 0 && now-l.at < latencyFresh {
			return time.Duration(l.average)
		}
	}
	return 0
}

// Entry is one entry VM.
type Entry struct {
	Region, Domain string
	Set            *route.Set

	index   int
	queue   *limit.Queue
	retries *limit.RetryBudget
	bytes   *limit.ByteBudget
	stream  [2]int // number of the present Poisson process of each class
}

// Stats counts the requests of one class.
type Stats struct {
	Latency *hdrhistogram.Histogram // microseconds, of requests that were not shed
	Sent    int64
	OK      int64
	Failed  int64 // error answers and timeouts
	Shed    int64 // refused as not run by admission
	NoRoute int64 // refused as not run because no runner could take them
	Retries int64
	Crossed int64 // attempts sent to another region
	MaxWait time.Duration
}

// World is a running model. It is not safe for concurrent use.
type World struct {
	Config  Config
	Entries []*Entry
	Runners []*Runner
	Rand    *rand.Rand
	// Stats are by class, from MeasureFrom on.
	Stats       [2]*Stats
	MeasureFrom time.Duration

	epoch  time.Time
	now    time.Duration
	seq    int64
	events eventHeap
	byID   map[string]*Runner
	cut    map[[2]string]bool
	mu     float64
	sigma  float64
}

// New builds a world at time 0.
func New(cfg Config) *World {
	w := &World{Config: cfg, Rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), byID: map[string]*Runner{},
		cut: map[[2]string]bool{}, epoch: time.Date(2027, 3, 7, 8, 0, 0, 0, time.UTC)}
	for class := range w.Stats {
		w.Stats[class] = &Stats{Latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	}
	variance := math.Log(1 + cfg.ServiceVariation*cfg.ServiceVariation)
	w.sigma = math.Sqrt(variance)
	w.mu = math.Log(float64(cfg.Service)) - variance/2
	for _, place := range cfg.Places {
		w.addRunners(place)
	}
	for _, place := range cfg.Places {
		w.addEntries(place)
	}
	if cfg.ListInterval > 0 {
		w.listTick()
	}
	return w
}

func (w *World) addRunners(place Place) {
	for i := range place.Runners {
		id := fmt.Sprintf("%s-%02d", place.Domain, i)
		r := &Runner{Slowdown: 1, Slots: w.Config.Slots, VM: infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive,
			Region: place.Region, Domain: place.Domain, Addr: id + ":7000", Slots: w.Config.Slots,
			Connections: w.Config.Connections}}
		w.Runners = append(w.Runners, r)
		w.byID[id] = r
	}
}

func (w *World) addEntries(place Place) {
	for range place.Entries {
		cfg := w.Config.Route
		cfg.Seed = w.Rand.Uint64()
		index := len(w.Entries)
		e := &Entry{Region: place.Region, Domain: place.Domain, index: index}
		w.Entries = append(w.Entries, e)
		if w.Config.Policy != nil {
			cfg.Policy = w.Config.Policy(w, index)
		}
		e.Set = route.NewSetAt(w.Time(), route.Locality{Region: place.Region, Domain: place.Domain}, cfg)
		e.Set.UpdateAt(w.Time(), w.list())
		e.queue = limit.NewQueue(w.Config.Concurrency, w.Config.Queue)
		e.retries = limit.NewRetryBudget(w.Config.RetryPercent, w.Config.RetryFloor)
		e.bytes = limit.NewByteBudget(w.Config.LinkRate)
	}
}

// Now returns the virtual time since the start.
func (w *World) Now() time.Duration { return w.now }

// Time returns the virtual instant.
func (w *World) Time() time.Time { return w.epoch.Add(w.now) }

// Runner returns the runner with an ID.
func (w *World) Runner(id string) *Runner { return w.byID[id] }

// At runs f at a virtual time.
func (w *World) At(at time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(at, w.now), seq: w.seq, run: f})
}

// After runs f after a virtual delay.
func (w *World) After(delay time.Duration, f func()) { w.At(w.now+delay, f) }

// Run runs all events up to a virtual time.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = until
}

// SetMode changes how a runner behaves. What a dead or silent runner had in work is lost.
func (w *World) SetMode(r *Runner, mode Mode) {
	r.Mode = mode
	r.left = mode == ModeLeaving
	r.leftAt = w.now
}

// SetCut cuts two regions off from each other, or connects them again.
func (w *World) SetCut(a, b string, cut bool) {
	w.cut[[2]string{a, b}] = cut
	w.cut[[2]string{b, a}] = cut
}

// Delay returns the one-way delay between an entry VM and a runner.
func (w *World) Delay(e *Entry, r *Runner) time.Duration {
	switch {
	case e.Region != r.VM.Region:
		return w.Config.RegionDelay
	case e.Domain != r.VM.Domain:
		return w.Config.DomainDelay
	default:
		return w.Config.LocalDelay
	}
}

// list returns the VM list as entry VMs see it, with its lag.
func (w *World) list() []infra.VM {
	vms := make([]infra.VM, len(w.Runners))
	for i, r := range w.Runners {
		vms[i] = r.VM
		if r.left && w.now-r.leftAt >= w.Config.ListLag {
			vms[i].State = infra.VMLeaving
		}
	}
	return vms
}

func (w *World) listTick() {
	w.After(w.Config.ListInterval, func() {
		for _, e := range w.Entries {
			e.Set.UpdateAt(w.Time(), w.list())
		}
		w.listTick()
	})
}

func (w *World) serviceTime(r *Runner) time.Duration {
	return time.Duration(math.Exp(w.mu+w.sigma*w.Rand.NormFloat64()) * r.Slowdown)
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
