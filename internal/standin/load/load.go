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
	// Large sends large bodies and requests large responses through every entry VM at the start.
	Large bool
	// Jobs submits a batch job, standing tasks and a service.
	Jobs bool
	// BatchTasks is the number of batch tasks and BatchWork the work of each.
	BatchTasks int
	BatchWork  time.Duration
	// JobTimeout bounds the wait for the jobs after the end of the requests.
	JobTimeout time.Duration
	// KillRunnerAfter is the time after the start at which one runner is killed; 0 means never.
	KillRunnerAfter time.Duration
}

// Summary is the outcome of a run.
type Summary struct {
	Deployment string        `json:"deployment"`
	Callers    int           `json:"callers"`
	Requests   RequestReport `json:"requests"`
	Tasks      *TaskReport   `json:"tasks,omitempty"`
	KilledVMs  []string      `json:"killed_vms,omitempty"`
	// Runs counts requests that runners executed. ConnectionsRefused counts connections above a runner's limit.
	Runs               int64 `json:"runs"`
	ConnectionsRefused int64 `json:"connections_refused"`
	// Latencies of successful responses, in microseconds. They do not measure the system alone: callers, the simulated
	// platform and the daemons share one machine.
	P50Micros int64 `json:"p50_us"`
	P99Micros int64 `json:"p99_us"`
}

// Violations returns all violations.
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
	// idleTimeout bounds the wait until no request is running. idlePollInterval is the time between two reads of the counts.
	idleTimeout      = 15 * time.Second
	idlePollInterval = 500 * time.Millisecond
	// lookupBatch is the number of tokens in one lookup.
	lookupBatch = 20_000
	// maxMicros is the highest latency of the histogram; higher ones are counted as this one.
	maxMicros = 60_000_000
)

type run struct {
	cfg     Config
	targets []*target
	callers []*caller

	mu        sync.Mutex // guards latencies
	latencies *hdrhistogram.Histogram
}

// Run sends requests and jobs, then checks whether the guarantees held.
func Run(ctx context.Context, cfg Config) (Summary, error) {
	r := &run{cfg: cfg, latencies: hdrhistogram.New(1, maxMicros, 3)}
	for _, e := range cfg.Deployment.Entries {
		r.targets = append(r.targets, &target{base: "http://" + e.Caller + "/svc/" + cfg.Deployment.Service})
	}
	reservationPath := "/reservations"
	if cfg.Deployment.Name == "baling" {
		reservationPath = "/settlements"
	}
	// The prefix makes tokens and keys differ between runs with the same seed.
	prefix := strconv.FormatInt(time.Now().UnixMilli(), 36)
	client := newClient(cfg.Callers)
	for i := range cfg.Callers + 1 {
		r.callers = append(r.callers, &caller{
			id: fmt.Sprintf("%s.%d.%d", prefix, cfg.Seed, i), rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			client: client, targets: r.targets, recordLatency: r.recordLatency, reservationPath: reservationPath,
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

func (r *run) recordLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latencies.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// requests runs the callers. Meanwhile the last caller sends the special requests, and a runner is killed if configured.
func (r *run) requests(ctx context.Context, summary *Summary) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var group errgroup.Group
	for _, c := range r.callers[:r.cfg.Callers] {
		group.Go(func() error { c.run(ctx, r.cfg.Think); return nil })
	}
	group.Go(func() error { r.sendSpecial(ctx); return nil })
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

// sendSpecial sends large requests through each entry VM, then pairs of concurrent requests with the same key.
func (r *run) sendSpecial(ctx context.Context) {
	c := r.callers[r.cfg.Callers]
	for _, t := range r.targets {
		if !r.cfg.Large || ctx.Err() != nil {
			break
		}
		c.targets = []*target{t}
		c.echo(largeBody)
		c.work(largeResponse)
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
	jobs.awaitAll(ctx, report)
	return nil
}

// check compares the outcomes that callers observed with the counts of runners and workers.
func (r *run) check(ctx context.Context, summary *Summary) error {
	counts, err := r.awaitIdle(ctx)
	if err != nil {
		return err
	}
	var operations []Operation
	for _, c := range r.callers {
		operations = append(operations, c.operations...)
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
	summary.P50Micros, summary.P99Micros = r.latencies.ValueAtPercentile(50), r.latencies.ValueAtPercentile(99)
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

// replicaRuns returns the number of requests that runners of service tasks executed.
func replicaRuns(counts []standin.FleetCounts) int64 {
	var n int64
	for _, c := range counts {
		for runner, runs := range c.Requests.ByRunner {
			// The ID of such a runner contains the ID of its task.
			if strings.Contains(runner, "/") {
				n += runs
			}
		}
	}
	return n
}

// awaitIdle waits until the runners start no more requests and returns their counts.
func (r *run) awaitIdle(ctx context.Context) ([]standin.FleetCounts, error) {
	last := int64(-1)
	for deadline := time.Now().Add(idleTimeout); ; {
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
		if !wait.For(ctx, idlePollInterval) {
			return nil, ctx.Err()
		}
	}
}

// lookup returns how often each operation ran, summed over all runners.
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

// AwaitReady waits until every daemon is ready and the VM list shows every resident runner.
func AwaitReady(ctx context.Context, d standin.Deployment) error {
	var waiting string
	for {
		if waiting = notReady(ctx, d); waiting == "" {
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return errors.Errorf("still waiting for %s", waiting)
		}
	}
}

// notReady describes the first part of the deployment that is not ready; empty means that all are.
func notReady(ctx context.Context, d standin.Deployment) string {
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
	line("  other answers", "%d", q.OtherResponses)
	line("  cut without an answer", "%d", q.NoResponse)
	line("  entry VM not reached", "%d", q.NotSent)
	line("idempotent, unanswered", "%d", q.Unanswered)
	line("non-idempotent operations", "%d, ran twice %d", q.NonIdempotent, q.RanTwice)
	line("false refusals", "%d", q.FalseRefusals)
	line("wrong answers", "%d", q.WrongResponses)
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
