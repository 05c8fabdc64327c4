package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/workload"
)

type config struct {
	program  string
	seed     uint64
	duration time.Duration
	dir      string
	plan     string
}

const (
	nodeCount   = 3
	runnerCount = 12
	// startTimeout is how long the nodes may take until one accepts jobs.
	startTimeout = 20 * time.Second
	// jobInterval is the pause between two submissions.
	jobInterval = 120 * time.Millisecond
	// queryInterval is the pause between two queries of a job's state while jobs are submitted.
	queryInterval = 100 * time.Millisecond
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 3 * time.Second
	// clientConns bounds the open connections to a node that clients keep for their next requests.
	clientConns = 64
	// attempts bounds how often a client sends a request, with retryPause between two attempts.
	attempts   = 5
	retryPause = 500 * time.Millisecond
)

// summary is the result of a run.
type summary struct {
	seed                         uint64
	accepted, refused, completed int
	starts                       int
	settled                      time.Duration
	faults                       []string
	violations                   []string
}

// String formats the summary as text.
func (s *summary) String() string {
	verdict := "all promises held"
	if len(s.violations) > 0 {
		verdict = "BROKEN:\n  " + strings.Join(s.violations, "\n  ")
	}
	return fmt.Sprintf("seed %d: %d jobs accepted, %d refused, %d completed, %d starts, %d faults, settled after %v\nfaults: %s\n%s",
		s.seed, s.accepted, s.refused, s.completed, s.starts, len(s.faults), s.settled.Round(100*time.Millisecond),
		strings.Join(s.faults, "; "), verdict)
}

// soak is one run.
type soak struct {
	cfg      config
	plan     plan
	began    time.Time
	rng      *rand.Rand // used only by the goroutine of inject
	platform *emulatedPlatform
	nodes    []*process
	client   *http.Client
	undos    []*undo // used only by the goroutine of inject and after it has ended

	mu sync.Mutex // guards the fields below and the observed states of jobs
	// gone holds the runners that do not come back: the first ones of the platform.
	gone    map[string]bool
	jobs    []*clientJob
	byID    map[string]*clientJob
	summary *summary
}

func run(ctx context.Context, cfg config) (*summary, error) {
	temporary := cfg.dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		cfg.dir = dir
	} else if err := os.MkdirAll(cfg.dir, 0o700); err != nil {
		return nil, err
	}
	s := &soak{cfg: cfg, plan: plans[cfg.plan], began: time.Now(), rng: rand.New(rand.NewPCG(cfg.seed, 1)), summary: &summary{seed: cfg.seed},
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}}, byID: map[string]*clientJob{}, gone: map[string]bool{}}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	if err := s.writeRecords(); err != nil {
		return nil, err
	}
	if temporary && len(s.summary.violations) == 0 {
		return s.summary, os.RemoveAll(cfg.dir)
	}
	fmt.Printf("logs and records: %s\n", cfg.dir)
	return s.summary, nil
}

func (s *soak) play(ctx context.Context) error {
	var err error
	if s.platform, err = newEmulatedPlatform(s); err != nil {
		return err
	}
	defer s.platform.close()
	for i := range nodeCount {
		s.nodes = append(s.nodes, newProcess(s.cfg.dir, s.cfg.seed, i))
	}
	for _, p := range s.nodes {
		storeAddr, err := s.platform.connect(p, s.nodes)
		if err != nil {
			return err
		}
		if err := p.writeSettings(storeAddr); err != nil {
			return err
		}
		if err := p.start(s.cfg.program); err != nil {
			return err
		}
		defer p.end(syscall.SIGKILL)
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.submitAndInject(ctx)
	s.clearFaults()
	var watch sync.WaitGroup
	watched, stop := context.WithCancel(ctx)
	if s.plan.overload {
		watch.Go(func() { s.reportIdle(watched) })
	}
	s.awaitSettled(ctx)
	stop()
	watch.Wait()
	s.check()
	return nil
}

func (s *soak) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.owner() != nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no node owns a cell after %v", startTimeout)
}

// submitAndInject submits jobs and injects faults until the duration has passed.
func (s *soak) submitAndInject(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.duration)
	defer cancel()
	var group sync.WaitGroup
	rng := rand.New(rand.NewPCG(s.cfg.seed, 2))
	interval, clients := jobInterval, context.Background()
	if s.plan.overload {
		clients = ctx
		s.submit(clients, s.addJob(rng), 0)
	}
	group.Go(func() { s.inject(ctx) })
	group.Go(func() { s.queryJobs(ctx) })
	for wait.For(ctx, interval) {
		first := len(s.jobs) % len(s.nodes)
		job := s.addJob(rng)
		if s.plan.overload {
			interval = job.overloadInterval()
		}
		group.Go(func() { s.submit(clients, job, first) })
	}
	group.Wait()
}

// addJob creates the next job.
func (s *soak) addJob(rng *rand.Rand) *clientJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := newJob(rng, s.cfg.seed, len(s.jobs), s.plan)
	s.jobs, s.byID[job.id] = append(s.jobs, job), job
	return job
}

// job returns a submitted job, or nil.
func (s *soak) job(id string) *clientJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// submit submits a job, and cancels it if it is one of those to cancel. The client gives up when ctx ends.
func (s *soak) submit(ctx context.Context, job *clientJob, first int) {
	body, err := json.Marshal(&job.submittedJob)
	if err != nil {
		panic(err)
	}
	refusedOnly := true
	job.accepted.Store(s.send(ctx, http.MethodPost, job, first, body, func(status int) {
		refusedOnly = refusedOnly && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if status == http.StatusBadRequest {
			s.violate("valid job %s was rejected", job.id)
		}
	}))
	if !job.accepted.Load() {
		job.refused.Store(refusedOnly)
		return
	}
	if job.cancelAfter > 0 {
		time.Sleep(job.cancelAfter)
		job.cancelSent.Store(true)
		job.cancelled.Store(s.send(ctx, http.MethodDelete, job, first, nil, func(int) {}))
	}
}

// send sends a request to one node after another until one responds with 200, and reports whether one did. It calls failed for
// each other response. In an overload it waits for the time that the response asks for.
func (s *soak) send(ctx context.Context, method string, job *clientJob, first int, body []byte, failed func(status int)) bool {
	for attempt := range attempts {
		status, header, _ := s.call(method, s.nodes[(first+attempt)%len(s.nodes)], job.id, body)
		if status == http.StatusOK {
			return true
		}
		failed(status)
		pause := retryPause
		if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && s.plan.overload {
			pause = max(pause, time.Duration(seconds)*time.Second)
		}
		if !wait.For(ctx, pause) {
			return false
		}
	}
	return false
}

// queryJobs queries the states of accepted jobs until ctx ends.
func (s *soak) queryJobs(ctx context.Context) {
	for n := 0; wait.For(ctx, queryInterval); n++ {
		s.mu.Lock()
		jobs := s.jobs
		s.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		// The step visits old and new jobs in turn.
		if job := jobs[n*7%len(jobs)]; job.accepted.Load() {
			s.query(job, s.nodes[n%len(s.nodes)])
		}
	}
}

// query asks a node for the state of an accepted job.
func (s *soak) query(job *clientJob, node *process) {
	status, _, response := s.call(http.MethodGet, node, job.id, nil)
	var answer struct{ State string }
	switch {
	case status == http.StatusGone:
		s.violate("%s does not know the accepted job %s", node.name, job.id)
	case status != http.StatusOK || json.Unmarshal(response, &answer) != nil:
		return
	}
	previous := job.state
	job.state = answer.State
	if answer.State == string(workload.StateCompleted) && job.completedAt.IsZero() {
		job.completedAt = time.Now()
	}
	if workload.State(previous).Terminal() && answer.State != previous {
		s.violate("job %s was %s and is now %q by %s", job.id, previous, answer.State, node.name)
	}
}

// call sends a request and returns the status, header and body of the response, or 0 if there was no response.
func (s *soak) call(method string, p *process, id string, body []byte) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, "http://"+p.clientAddr+jobPathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	res, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = res.Body.Close() }()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, nil
	}
	return res.StatusCode, res.Header, response
}

// violate records a broken guarantee once.
func (s *soak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.summary.violations, text) {
		s.summary.violations = append(s.summary.violations, text)
	}
}

// writeRecords writes the faults and all runs with their times next to the logs of the nodes.
func (s *soak) writeRecords() error {
	var out strings.Builder
	for _, fault := range s.summary.faults {
		fmt.Fprintln(&out, "fault", fault)
	}
	for _, start := range s.platform.fleet.Starts() {
		fmt.Fprintln(&out, start.At.Format(time.RFC3339Nano), "start", start.Task, start.Run, start.Runner, start.Token)
	}
	for _, end := range s.platform.fleet.Ends() {
		fmt.Fprintln(&out, end.At.Format(time.RFC3339Nano), "end", end.Task, end.Run, end.Runner, end.Reason, end.Acked)
	}
	return os.WriteFile(filepath.Join(s.cfg.dir, "records.log"), []byte(out.String()), 0o600)
}
