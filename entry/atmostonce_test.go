package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/internal/memnet"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Behaviours of an upstream for one request.
const (
	respondsFully = iota
	respondsLate
	respondsCrossed
	respondsTruncated
	losesConnection
	refusesBusy
	refusesLeaving
	staysSilent
	behaviourCount
)

// operation is a request of one caller. The caller repeats it until it gets a response or has no attempts left.
type operation struct {
	id       string
	method   string
	key      string
	start    time.Duration
	attempts []attempt
}

// attempt is one attempt of a caller to send an operation.
type attempt struct {
	entry   int
	timeout time.Duration // after which the caller disconnects
	pause   time.Duration // before the next attempt
	doubled bool          // the next attempt begins at the same time
}

// scenario holds all random choices of a run. They are drawn before the run because draws are not safe for concurrent
// use.
type scenario struct {
	operations []operation
	behaviour  []int
	conns      []memnet.Faults
	refused    []bool
	kills      []kill
	table      []tableFault
}

type kill struct {
	at, downtime time.Duration
	entry        int
}

type tableFault struct {
	at     time.Duration
	faults standin.TableFaults
}

func draws[T any](rt *rapid.T, label string, n int, draw func(i int) T) []T {
	out := make([]T, rapid.IntRange(1, n).Draw(rt, label))
	for i := range out {
		out[i] = draw(i)
	}
	return out
}

func millis(rt *rapid.T, label string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(rt, label)) * time.Millisecond
}

// oneIn draws true in one of n cases.
func oneIn(rt *rapid.T, label string, n int) bool { return rapid.IntRange(0, n-1).Draw(rt, label) == 0 }

func drawScenario(rt *rapid.T) scenario {
	return scenario{
		operations: draws(rt, "operations", 10, func(i int) operation { return drawOperation(rt, i) }),
		behaviour: draws(rt, "behaviours", 20, func(int) int {
			if rapid.Bool().Draw(rt, "healthy") {
				return respondsFully
			}
			return rapid.IntRange(0, behaviourCount-1).Draw(rt, "behaviour")
		}),
		conns:   draws(rt, "connections", 20, func(int) memnet.Faults { return drawConn(rt) }),
		refused: draws(rt, "dials", 20, func(int) bool { return oneIn(rt, "refused", 8) }),
		kills: draws(rt, "kills", 3, func(int) kill {
			return kill{at: millis(rt, "kill at", 8000), downtime: millis(rt, "downtime", 3000), entry: rapid.IntRange(0, 1).Draw(rt, "killed")}
		}),
		table: draws(rt, "table faults", 6, func(int) tableFault {
			return tableFault{at: millis(rt, "table fault at", 10000), faults: standin.TableFaults{
				Down:          oneIn(rt, "down", 5),
				Delay:         millis(rt, "delay", 300),
				LoseResponses: rapid.IntRange(0, 4).Draw(rt, "lost answers"),
				LoseRequests:  rapid.IntRange(0, 2).Draw(rt, "lost requests"),
			}}
		}),
	}
}

func drawOperation(rt *rapid.T, i int) operation {
	op := operation{id: fmt.Sprintf("op%d", i), method: http.MethodPost, start: millis(rt, "start", 6000)}
	attempts := 1
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		op.method = http.MethodGet
	case 1:
	default:
		op.key = op.id
		attempts = 4
	}
	op.attempts = draws(rt, "attempts", attempts, func(int) attempt {
		return attempt{entry: rapid.IntRange(0, 1).Draw(rt, "entry"), timeout: 50*time.Millisecond + millis(rt, "timeout", 12000), pause: millis(rt, "pause", 2000), doubled: oneIn(rt, "doubled", 4)}
	})
	return op
}

func drawConn(rt *rapid.T) memnet.Faults {
	faults := memnet.Faults{AcceptBeyondCut: rapid.Bool().Draw(rt, "accept")}
	if oneIn(rt, "cut up", 4) {
		faults.CutUp = rapid.Int64Range(1, 1500).Draw(rt, "cut up after")
	}
	if oneIn(rt, "cut down", 4) {
		faults.CutDown = rapid.Int64Range(1, 800).Draw(rt, "cut down after")
	}
	faults.Silent = oneIn(rt, "silent", 10)
	return faults
}

// history records the runs of operations and the violations found.
type history struct {
	mu       sync.Mutex     // guards the fields below
	runs     map[string]int // by operation
	attempts map[string]int // runs by operation and attempt
	problems []string
}

func (hist *history) recordRun(op, attempt string) {
	hist.mu.Lock()
	defer hist.mu.Unlock()
	hist.runs[op]++
	hist.attempts[attempt]++
}

func (hist *history) recordProblem(format string, args ...any) {
	hist.mu.Lock()
	defer hist.mu.Unlock()
	hist.problems = append(hist.problems, fmt.Sprintf(format, args...))
}

func (hist *history) runsOf(attempt string) int {
	hist.mu.Lock()
	defer hist.mu.Unlock()
	return hist.attempts[attempt]
}

// Checks that a non-idempotent request runs at most once, that a response reaches only its own caller and never looks
// complete when it is truncated, and that the verdict "not run" is true (G5, G6, G7). The faults are connections lost
// at any byte, late, crossed and truncated responses, silent connections, killed entry VMs and lost table responses.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			hist := &history{runs: map[string]int{}, attempts: map[string]int{}}
			h.runScenario(s, hist)
			hist.check(s)
			hist.mu.Lock()
			defer hist.mu.Unlock()
			if len(hist.problems) > 0 {
				rt.Fatal(strings.Join(hist.problems, "\n"))
			}
		})
	})
}

func (hist *history) check(s scenario) {
	for _, op := range s.operations {
		hist.mu.Lock()
		n := hist.runs[op.id]
		hist.mu.Unlock()
		if op.method == http.MethodPost && n > 1 {
			hist.recordProblem("%s ran %d times", op.id, n)
		}
	}
}

// runScenario runs a scenario against two upstreams and two entry VMs.
func (h *harness) runScenario(s scenario, hist *history) {
	var dials, requests atomic.Int64
	h.network.OnDial(func(addr string) (memnet.Faults, error) {
		n := int(dials.Add(1))
		if s.refused[n%len(s.refused)] && addr[0] == 'u' {
			return memnet.Faults{}, errors.New("refused")
		}
		return s.conns[n%len(s.conns)], nil
	})
	for _, id := range []string{"u1", "u2"} {
		h.addUpstream(id, "r1", "d1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n := int(requests.Add(1))
			faultyUpstream(w, r, s.behaviour[n%len(s.behaviour)], hist)
		}))
	}
	entries := &fleet{vms: []*entryVM{h.addEntry("e0"), h.addEntry("e1")}}
	var group sync.WaitGroup
	for _, op := range s.operations {
		group.Go(func() { op.perform(entries, hist) })
	}
	for _, f := range s.table {
		group.Go(func() {
			time.Sleep(f.at)
			h.table.SetFaults(f.faults)
		})
	}
	group.Go(func() {
		for _, k := range s.kills {
			time.Sleep(k.at)
			entries.replace(h, k)
		}
	})
	group.Wait()
	time.Sleep(time.Minute)
}

// fleet holds the running entry VMs.
type fleet struct {
	mu  sync.Mutex // guards vms
	vms []*entryVM
}

func (f *fleet) get(i int) *entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

// replace kills an entry VM and starts another one with the same name.
func (f *fleet) replace(h *harness, k kill) {
	f.get(k.entry).kill()
	time.Sleep(k.downtime)
	next := h.addEntry(fmt.Sprintf("e%d", k.entry))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[k.entry] = next
}

// faultyUpstream serves one request with the given behaviour and records its run unless the request is refused.
func faultyUpstream(w http.ResponseWriter, r *http.Request, behaviour int, hist *history) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	op := r.Header.Get("Test-Id")
	header := w.Header()
	header.Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	switch behaviour {
	case refusesBusy, refusesLeaving:
		header.Set("Currantthread-Refused", map[int]string{refusesBusy: "busy", refusesLeaving: "leaving"}[behaviour])
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hist.recordRun(op, r.Header.Get("Test-Attempt"))
	switch behaviour {
	case respondsLate:
		time.Sleep(15 * time.Second)
	case respondsCrossed:
		header.Set(upstream.HeaderRequestID, "another")
		op = "another"
	case respondsTruncated:
		_, _ = io.WriteString(w, responseTo(op)[:5])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case losesConnection:
		panic(http.ErrAbortHandler)
	case staysSilent:
		time.Sleep(10 * time.Minute)
	}
	_, _ = io.WriteString(w, responseTo(op))
}

func responseTo(op string) string { return "the answer to " + op }

// perform sends an operation until it gets a response, and checks each reply.
func (op operation) perform(entries *fleet, hist *history) {
	time.Sleep(op.start)
	var group sync.WaitGroup
	defer group.Wait()
	for i, a := range op.attempts {
		if a.doubled {
			group.Go(func() { op.attempt(entries, i, hist) })
			continue
		}
		if op.attempt(entries, i, hist) {
			return
		}
		time.Sleep(a.pause)
	}
}

// attempt sends an operation once and reports whether it was successful.
func (op operation) attempt(entries *fleet, i int, hist *history) bool {
	a := op.attempts[i]
	name := fmt.Sprintf("%s/%d", op.id, i)
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	got := entries.get(a.entry).send(request{method: op.method, id: op.id, key: op.key, body: "body of " + op.id, ctx: ctx,
		header: http.Header{"Test-Attempt": {name}}})
	if got.err != nil {
		return false
	}
	op.check(name, got, hist)
	return got.status == http.StatusOK
}

func (op operation) check(name string, got reply, hist *history) {
	if got.status == http.StatusOK && got.body != responseTo(op.id) {
		hist.recordProblem("%s got the response %q", name, got.body)
	}
	if got.verdict() == verdict.NotRun && hist.runsOf(name) > 0 {
		hist.recordProblem("%s was refused as not run and ran: %s", name, got.body)
	}
	if got.status == http.StatusOK && got.verdict() != verdict.Ran {
		hist.recordProblem("%s was answered with verdict %s", name, got.verdict())
	}
}
