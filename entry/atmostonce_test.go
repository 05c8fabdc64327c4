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

// What a runner does with a request.
const (
	answersWhole = iota
	answersLate
	answersCrossed
	answersTruncated
	losesConnection
	refusesBusy
	refusesLeaving
	staysSilent
	behaviours
)

// operation is what one caller wants done once. The caller repeats it until it has an answer or gives up.
type operation struct {
	id       string
	method   string
	key      string
	start    time.Duration
	attempts []attempt
}

// attempt is one try of a caller.
type attempt struct {
	entry   int
	timeout time.Duration // the caller leaves after it
	pause   time.Duration // before the next attempt
	doubled bool          // the next attempt begins at the same time
}

// scenario is everything that chance decides, drawn before the run because draws are not safe for concurrent use.
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

func millis(rt *rapid.T, label string, upTo int) time.Duration {
	return time.Duration(rapid.IntRange(0, upTo).Draw(rt, label)) * time.Millisecond
}

// often draws true in one of n cases.
func often(rt *rapid.T, label string, n int) bool { return rapid.IntRange(0, n-1).Draw(rt, label) == 0 }

func drawScenario(rt *rapid.T) scenario {
	return scenario{
		operations: draws(rt, "operations", 10, func(i int) operation { return drawOperation(rt, i) }),
		behaviour: draws(rt, "behaviours", 20, func(int) int {
			if rapid.Bool().Draw(rt, "healthy") {
				return answersWhole
			}
			return rapid.IntRange(0, behaviours-1).Draw(rt, "behaviour")
		}),
		conns:   draws(rt, "connections", 20, func(int) memnet.Faults { return drawConn(rt) }),
		refused: draws(rt, "dials", 20, func(int) bool { return often(rt, "refused", 8) }),
		kills: draws(rt, "kills", 3, func(int) kill {
			return kill{at: millis(rt, "kill at", 8000), downtime: millis(rt, "downtime", 3000), entry: rapid.IntRange(0, 1).Draw(rt, "killed")}
		}),
		table: draws(rt, "table faults", 6, func(int) tableFault {
			return tableFault{at: millis(rt, "table fault at", 10000), faults: standin.TableFaults{
				Down:         often(rt, "down", 5),
				Delay:        millis(rt, "delay", 300),
				LoseAnswers:  rapid.IntRange(0, 4).Draw(rt, "lost answers"),
				LoseRequests: rapid.IntRange(0, 2).Draw(rt, "lost requests"),
			}}
		}),
	}
}

func drawOperation(rt *rapid.T, i int) operation {
	op := operation{id: fmt.Sprintf("op%d", i), method: http.MethodPost, start: millis(rt, "start", 6000)}
	tries := 1
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		op.method = http.MethodGet
	case 1:
	default:
		op.key = op.id
		tries = 4
	}
	op.attempts = draws(rt, "attempts", tries, func(int) attempt {
		return attempt{entry: rapid.IntRange(0, 1).Draw(rt, "entry"), timeout: 50*time.Millisecond + millis(rt, "timeout", 12000), pause: millis(rt, "pause", 2000), doubled: often(rt, "doubled", 4)}
	})
	return op
}

func drawConn(rt *rapid.T) memnet.Faults {
	faults := memnet.Faults{AcceptBeyondCut: rapid.Bool().Draw(rt, "accept")}
	if often(rt, "cut up", 4) {
		faults.CutUp = rapid.Int64Range(1, 1500).Draw(rt, "cut up after")
	}
	if often(rt, "cut down", 4) {
		faults.CutDown = rapid.Int64Range(1, 800).Draw(rt, "cut down after")
	}
	faults.Silent = often(rt, "silent", 10)
	return faults
}

// history is what happened.
type history struct {
	mu       sync.Mutex     // guards the fields below
	runs     map[string]int // by operation
	attempts map[string]int // runs by operation and attempt
	problems []string
}

func (h *history) note(op, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[op]++
	h.attempts[attempt]++
}

func (h *history) problem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

func (h *history) runsOf(attempt string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attempts[attempt]
}

// Guards against a non-idempotent request that runs twice, an answer that reaches another caller or looks complete when
// it is not, and a refusal that says "not run" of a request that ran, under any mix of lost connections (at any byte),
// late, crossed and truncated answers, silent connections, killed and replaced entry VMs, repeats through any entry VM
// and lost answers of the table service (G5, G6, G7).
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			defer b.stop()
			h := &history{runs: map[string]int{}, attempts: map[string]int{}}
			b.play(s, h)
			h.check(s)
			h.mu.Lock()
			defer h.mu.Unlock()
			if len(h.problems) > 0 {
				rt.Fatal(strings.Join(h.problems, "\n"))
			}
		})
	})
}

func (h *history) check(s scenario) {
	for _, op := range s.operations {
		h.mu.Lock()
		n := h.runs[op.id]
		h.mu.Unlock()
		if op.method == http.MethodPost && n > 1 {
			h.problem("%s ran %d times", op.id, n)
		}
	}
}

// play runs a scenario.
func (b *bench) play(s scenario, h *history) {
	var dials, requests atomic.Int64
	b.network.OnDial(func(addr string) (memnet.Faults, error) {
		n := int(dials.Add(1))
		if s.refused[n%len(s.refused)] && addr[0] == 'u' {
			return memnet.Faults{}, errors.New("refused")
		}
		return s.conns[n%len(s.conns)], nil
	})
	for _, id := range []string{"u1", "u2"} {
		b.addUpstream(id, "r1", "d1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n := int(requests.Add(1))
			runner(w, r, s.behaviour[n%len(s.behaviour)], h)
		}))
	}
	entries := &fleet{vms: []*entryVM{b.addEntry("e0"), b.addEntry("e1")}}
	var group sync.WaitGroup
	for _, op := range s.operations {
		group.Go(func() { op.perform(entries, h) })
	}
	for _, f := range s.table {
		group.Go(func() {
			time.Sleep(f.at)
			b.table.SetFaults(f.faults)
		})
	}
	group.Go(func() {
		for _, k := range s.kills {
			time.Sleep(k.at)
			entries.replace(b, k)
		}
	})
	group.Wait()
	time.Sleep(time.Minute)
}

// fleet holds the entry VMs.
type fleet struct {
	mu  sync.Mutex // guards vms
	vms []*entryVM
}

func (f *fleet) get(i int) *entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

// replace kills an entry VM and starts another one under its name.
func (f *fleet) replace(b *bench, k kill) {
	f.get(k.entry).kill()
	time.Sleep(k.downtime)
	next := b.addEntry(fmt.Sprintf("e%d", k.entry))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[k.entry] = next
}

// runner is an upstream that runs a request unless it refuses, and misbehaves as told.
func runner(w http.ResponseWriter, r *http.Request, behaviour int, h *history) {
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
	h.note(op, r.Header.Get("Test-Attempt"))
	switch behaviour {
	case answersLate:
		time.Sleep(15 * time.Second)
	case answersCrossed:
		header.Set(upstream.HeaderRequestID, "another")
		op = "another"
	case answersTruncated:
		_, _ = io.WriteString(w, answerTo(op)[:5])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case losesConnection:
		panic(http.ErrAbortHandler)
	case staysSilent:
		time.Sleep(10 * time.Minute)
	}
	_, _ = io.WriteString(w, answerTo(op))
}

func answerTo(op string) string { return "the answer to " + op }

// perform sends an operation until it is answered, and checks each reply.
func (op operation) perform(entries *fleet, h *history) {
	time.Sleep(op.start)
	var group sync.WaitGroup
	defer group.Wait()
	for i, a := range op.attempts {
		if a.doubled {
			group.Go(func() { op.attempt(entries, i, h) })
			continue
		}
		if op.attempt(entries, i, h) {
			return
		}
		time.Sleep(a.pause)
	}
}

// attempt sends an operation once and reports whether it was answered.
func (op operation) attempt(entries *fleet, i int, h *history) bool {
	a := op.attempts[i]
	name := fmt.Sprintf("%s/%d", op.id, i)
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	got := entries.get(a.entry).send(request{method: op.method, id: op.id, key: op.key, body: "body of " + op.id, ctx: ctx,
		header: http.Header{"Test-Attempt": {name}}})
	if got.err != nil {
		return false
	}
	op.check(name, got, h)
	return got.status == http.StatusOK
}

func (op operation) check(name string, got reply, h *history) {
	if got.status == http.StatusOK && got.body != answerTo(op.id) {
		h.problem("%s got the answer %q", name, got.body)
	}
	if got.verdict() == verdict.NotRun && h.runsOf(name) > 0 {
		h.problem("%s was refused as not run and ran: %s", name, got.body)
	}
	if got.status == http.StatusOK && got.verdict() != verdict.Ran {
		h.problem("%s was answered with verdict %s", name, got.verdict())
	}
}
