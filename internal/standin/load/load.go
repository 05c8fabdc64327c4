package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/ctl"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/internal/wait"
)

// Config configures a run.
type Config struct {
	Deployment standin.Deployment
	Callers    int
	Duration   time.Duration
	// Think is the mean pause of a caller between two requests.
	Think time.Duration
	Seed  uint64
	// Large sends large bodies and answers through every entry VM at the start.
	Large bool
	// Jobs submits a batch job, standing tasks and a service.
	Jobs bool
	// BatchTasks is the number of batch tasks and BatchWork the work of each.
	BatchTasks int
	BatchWork  time.Duration
	// JobTimeout bounds the wait for the jobs after the requests ended.
	JobTimeout time.Duration
	// KillRunnerAfter kills one runner so long after the start; 0 means never.
	KillRunnerAfter time.Duration
}

// Summary is the outcome of a run.
type Summary struct {
	Deployment string        `json:"deployment"`
	Callers    int           `json:"callers"`
	Requests   RequestReport `json:"requests"`
	Tasks      *TaskReport   `json:"tasks,omitempty"`
	KilledVMs  []string      `json:"killed_vms,omitempty"`
	// Runs counts requests that runners ran, and ConnectionsRefused connections above a runner's limit.
	Runs               int64 `json:"runs"`
	ConnectionsRefused int64 `json:"connections_refused"`
	// Latencies of answers with success, in microseconds. They say nothing about the system alone: callers, stand-ins
	// and daemons share one machine.
	P50Micros int64 `json:"p50_us"`
	P99Micros int64 `json:"p99_us"`
}

// Violations returns every guarantee that did not hold.
func (s Summary) Violations() []Violation {
	violations := slices.Clone(s.Requests.Violations)
	if s.Tasks != nil {
		violations = append(violations, s.Tasks.Violations...)
	}
	if s.Requests.Answered == 0 {
		violations = append(violations, Violation{"requests", "no request was answered"})
	}
	return violations
}

const (
	// settleTimeout bounds the wait until no request runs any more, and settlePoll is the time between two looks.
	settleTimeout = 15 * time.Second
	settlePoll    = 500 * time.Millisecond
	// lookupBatch is the number of tokens in one question to the runners.
	lookupBatch = 20_000
	maxMicros   = 60_000_000
)

type run struct {
	cfg     Config
	targets []*target
	callers []*caller

	mu     sync.Mutex // owned by took
	timing *hdrhistogram.Histogram
}

// Run sends requests and jobs, then checks what happened.
func Run(ctx context.Context, cfg Config) (Summary, error) {
	r := &run{cfg: cfg, timing: hdrhistogram.New(1, maxMicros, 3)}
	for _, e := range cfg.Deployment.Entries {
		r.targets = append(r.targets, &target{base: "http://" + e.Caller + "/svc/" + cfg.Deployment.Service})
	}
	reserve := "/reservations"
	if cfg.Deployment.Name == "baling" {
		reserve = "/settlements"
	}
	// Requests of another run with the same seed are other requests, so their tokens and keys differ.
	prefix := strconv.FormatInt(time.Now().UnixMilli(), 36)
	client := newClient(cfg.Callers)
	for i := range cfg.Callers + 1 {
		r.callers = append(r.callers, &caller{
			id: fmt.Sprintf("%s.%d.%d", prefix, cfg.Seed, i), rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			client: client, targets: r.targets, took: r.took, reserve: reserve,
		})
	}
	summary := Summary{Deployment: cfg.Deployment.Name, Callers: cfg.Callers}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.requests(groupCtx, &summary) })
	if cfg.Jobs {
		summary.Tasks = &TaskReport{}
		group.Go(func() error { return r.jobs(groupCtx, summary.Tasks) })
	}
	if err := group.Wait(); err != nil {
		return summary, err
	}
	return summary, r.check(ctx, &summary)
}

func (r *run) took(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.timing.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// requests runs the callers, and meanwhile the last caller sends the large requests and a runner is killed.
func (r *run) requests(ctx context.Context, summary *Summary) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var group errgroup.Group
	for _, c := range r.callers[:r.cfg.Callers] {
		group.Go(func() error { c.run(ctx, r.cfg.Think); return nil })
	}
	group.Go(func() error { r.special(ctx); return nil })
	if r.cfg.KillRunnerAfter > 0 {
		group.Go(func() error {
			if !wait.For(ctx, r.cfg.KillRunnerAfter) {
				return nil
			}
			killed, err := killRunner(ctx, r.cfg.Deployment)
			summary.KilledVMs = append(summary.KilledVMs, killed)
			return err
		})
	}
	return group.Wait()
}

// special sends large requests through each entry VM and keyed requests through two at once.
func (r *run) special(ctx context.Context) {
	c := r.callers[r.cfg.Callers]
	for _, t := range r.targets {
		if !r.cfg.Large || ctx.Err() != nil {
			break
		}
		c.targets = []*target{t}
		c.echo(largeBody)
		c.work(largeAnswer)
	}
	c.targets = r.targets
	for range 10 * len(r.targets) {
		if ctx.Err() != nil {
			return
		}
		c.concurrentReservation()
	}
}

// killRunner kills the first runner of the first failure domain.
func killRunner(ctx context.Context, d standin.Deployment) (string, error) {
	domain := d.Domains[0]
	var faults standin.FleetFaults
	if err := standin.GetJSON(ctx, domain.ControlURL+"/faults", &faults); err != nil {
		return "", err
	}
	var ids []string
	for id := range faults.Runners {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", errors.Errorf("no runner in %s", domain.Domain)
	}
	id := slices.Min(ids)
	dead := standin.FleetFaults{Runners: map[string]standin.RunnerFaults{id: {Dead: true}}}
	return id, standin.PostJSON(ctx, domain.ControlURL+"/faults", dead, nil)
}

func (r *run) jobs(ctx context.Context, report *TaskReport) error {
	jobs := &jobSet{
		client:     ctl.NewClient(r.cfg.Deployment.Admins()),
		batchTasks: r.cfg.BatchTasks, batchWork: r.cfg.BatchWork,
	}
	if err := jobs.submit(ctx, r.cfg.Deployment.Service); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration+r.cfg.JobTimeout)
	defer cancel()
	jobs.follow(ctx, report)
	return nil
}

// check compares what callers were told with what runners and workers counted.
func (r *run) check(ctx context.Context, summary *Summary) error {
	counts, err := r.settle(ctx)
	if err != nil {
		return err
	}
	var operations []Operation
	for _, c := range r.callers {
		operations = append(operations, c.done...)
	}
	ran, err := r.lookup(ctx, operations)
	if err != nil {
		return err
	}
	summary.Requests = Check(operations, ran)
	for _, c := range counts {
		summary.Runs += c.Requests.Runs
		summary.ConnectionsRefused += c.ConnectionsRefused
	}
	summary.P50Micros, summary.P99Micros = r.timing.ValueAtPercentile(50), r.timing.ValueAtPercentile(99)
	if summary.Tasks == nil {
		return nil
	}
	var runs []standin.Run
	for _, d := range r.cfg.Deployment.Domains {
		var part []standin.Run
		if err := standin.GetJSON(ctx, d.ControlURL+"/runs", &part); err != nil {
			return err
		}
		runs = append(runs, part...)
	}
	summary.Tasks.check(counts, runs)
	summary.Tasks.ReplicaRuns = replicaRuns(counts)
	return nil
}

// replicaRuns counts the requests that runners of service tasks ran.
func replicaRuns(counts []standin.FleetCounts) int64 {
	var n int64
	for _, c := range counts {
		for runner, runs := range c.Requests.ByRunner {
			// The ID of such a runner holds the ID of its task.
			if strings.Contains(runner, "/") {
				n += runs
			}
		}
	}
	return n
}

// settle waits until the runners start no more requests and returns their counts.
func (r *run) settle(ctx context.Context) ([]standin.FleetCounts, error) {
	last := int64(-1)
	for deadline := time.Now().Add(settleTimeout); ; {
		var counts []standin.FleetCounts
		total := int64(0)
		for _, d := range r.cfg.Deployment.Domains {
			var c standin.FleetCounts
			if err := standin.GetJSON(ctx, d.ControlURL+"/counts", &c); err != nil {
				return nil, err
			}
			counts = append(counts, c)
			total += c.Requests.Runs
		}
		if total == last || time.Now().After(deadline) {
			return counts, nil
		}
		last = total
		if !wait.For(ctx, settlePoll) {
			return nil, ctx.Err()
		}
	}
}

// lookup returns how often each operation ran on all runners together.
func (r *run) lookup(ctx context.Context, operations []Operation) ([]int64, error) {
	ran := make([]int64, 0, len(operations))
	for part := range slices.Chunk(operations, lookupBatch) {
		tokens := make([]string, len(part))
		for i, op := range part {
			tokens[i] = op.Token
		}
		sums := make([]int64, len(part))
		for _, d := range r.cfg.Deployment.Domains {
			var result standin.LookupResult
			if err := standin.PostJSON(ctx, d.ControlURL+"/lookup", standin.Lookup{Tokens: tokens}, &result); err != nil {
				return nil, err
			}
			for i, n := range result.Tokens {
				sums[i] += n
			}
		}
		ran = append(ran, sums...)
	}
	return ran, nil
}

// Await waits until every daemon is ready and the VM list shows every runner from the start.
func Await(ctx context.Context, d standin.Deployment) error {
	var waiting string
	for {
		if waiting = pending(ctx, d); waiting == "" {
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return errors.Errorf("still waiting for %s", waiting)
		}
	}
}

// pending names what is not ready.
func pending(ctx context.Context, d standin.Deployment) string {
	for _, e := range d.Entries {
		for _, admin := range []string{e.Admin, e.SchedAdmin} {
			if !ready(ctx, "http://"+admin+"/readyz") {
				return e.VM + " at " + admin
			}
		}
	}
	vms, err := infra.NewVMListClient(d.VMListURL, "", time.Second).List(ctx)
	if err != nil {
		return "the VM list: " + err.Error()
	}
	wanted, listed := 0, 0
	for _, domain := range d.Domains {
		wanted += domain.Workers
	}
	for _, vm := range vms {
		if vm.Role == infra.RoleUpstream {
			listed++
		}
	}
	if listed < wanted {
		return fmt.Sprintf("runners in the VM list, %d of %d", listed, wanted)
	}
	return ""
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) {
	q := s.Requests
	line := func(name string, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%-28s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("deployment", "%s, %d callers", s.Deployment, s.Callers)
	line("killed", "%s", strings.Join(s.KilledVMs, ", "))
	line("requests sent", "%d", q.Sent)
	line("  answered", "%d", q.Answered)
	line("  refused as not run", "%d", q.RefusedNotRun)
	line("  may have run", "%d", q.MayHaveRun)
	line("  other answers", "%d", q.OtherAnswers)
	line("  cut without an answer", "%d", q.NoAnswer)
	line("  entry VM not reached", "%d", q.NotSent)
	line("idempotent, unanswered", "%d", q.Unanswered)
	line("non-idempotent operations", "%d, ran twice %d", q.NonIdempotent, q.RanTwice)
	line("false refusals", "%d", q.FalseRefusals)
	line("wrong answers", "%d", q.WrongAnswers)
	line("runs counted by runners", "%d, connections refused %d", s.Runs, s.ConnectionsRefused)
	line("latency p50, p99", "%d us, %d us (all parts on one machine)", s.P50Micros, s.P99Micros)
	if t := s.Tasks; t != nil {
		line("batch tasks finished", "%d of %d", t.BatchCompleted, t.BatchTasks)
		line("standing tasks", "%d of %d ran, %d stopped", t.StandingRunning, t.StandingTasks, t.StandingStopped)
		line("service replicas", "%d of %d ran, %d requests", t.ReplicasRunning, t.Replicas, t.ReplicaRuns)
		line("attempts started", "%d, over capacity %d, in two places %d", t.Attempts, t.OverCapacity, t.TwoPlaces)
	}
	violations := s.Violations()
	for _, v := range violations {
		line("BROKEN "+v.Guarantee, "%s", v.Detail)
	}
	if len(violations) == 0 {
		line("guarantees", "all held")
	}
}

// JSON returns the summary as JSON.
func (s Summary) JSON() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
