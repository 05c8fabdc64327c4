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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/workload"
)

type config struct {
	program       string
	seed          uint64
	duration      time.Duration
	nodes         int
	runners       int
	dir           string
	killOwnerOnly bool
}

const (
	// completionTimeout is how long jobs may take after the last fault. It covers a takeover, a lease and the attempts.
	completionTimeout = 40 * time.Second
	// startTimeout is how long the nodes may take until one accepts jobs.
	startTimeout = 20 * time.Second
	// jobInterval is the pause between two submissions.
	jobInterval = 120 * time.Millisecond
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 3 * time.Second
)

// summary is the result of a run.
type summary struct {
	seed                         uint64
	accepted, refused, completed int
	starts                       int
	faults                       []string
	violations                   []string
}

// String formats the summary as text.
func (s *summary) String() string {
	verdict := "all promises held"
	if len(s.violations) > 0 {
		verdict = "BROKEN:\n  " + strings.Join(s.violations, "\n  ")
	}
	return fmt.Sprintf("seed %d: %d jobs accepted, %d refused, %d completed, %d starts, %d faults\nfaults: %s\n%s",
		s.seed, s.accepted, s.refused, s.completed, s.starts, len(s.faults), strings.Join(s.faults, ", "), verdict)
}

// clientJob is the state of a job as observed by its client.
type clientJob struct {
	id       string
	tasks    int
	accepted bool
	refused  bool // every attempt was refused
	state    string
	// completedAt is when the job was first reported as completed.
	completedAt time.Time
}

// soak is one run.
type soak struct {
	cfg      config
	rng      *rand.Rand
	platform *emulatedPlatform
	nodes    []*process
	summary  *summary
	client   *http.Client

	mu   sync.Mutex // guards jobs and the fields of its elements while jobs are submitted
	jobs []*clientJob
}

func run(ctx context.Context, cfg config) (*summary, error) {
	if cfg.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		cfg.dir = dir
	} else if err := os.MkdirAll(cfg.dir, 0o700); err != nil {
		return nil, err
	}
	s := &soak{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), summary: &summary{seed: cfg.seed},
		client: &http.Client{Timeout: requestTimeout}}
	var err error
	if s.platform, err = newEmulatedPlatform(cfg.runners, s.taskWork); err != nil {
		return nil, err
	}
	defer s.platform.close()
	for i := range cfg.nodes {
		p, err := newProcess(cfg.dir, cfg.seed, i, s.platform.storeAddr)
		if err != nil {
			return nil, err
		}
		if err := p.start(cfg.program); err != nil {
			return nil, err
		}
		defer p.signalAndWait(syscall.SIGKILL)
		s.nodes = append(s.nodes, p)
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	s.submitAndInject(ctx)
	s.clearFaults()
	s.awaitJobs(ctx)
	s.check()
	return s.summary, nil
}

// taskWork returns a duration of 0.2 to 1.2 s and makes the first run of a few tasks fail. It depends only on its arguments.
func (s *soak) taskWork(task workload.TaskID, run int) (time.Duration, bool) {
	h := uint64(14695981039346656037)
	for _, b := range []byte(task.String()) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return 200*time.Millisecond + time.Duration(h%1000)*time.Millisecond, run == 1 && h%50 == 0
}

func (s *soak) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		for _, p := range s.nodes {
			if p.ownsCell() {
				return nil
			}
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
	group.Go(func() { s.inject(ctx) })
	for n := 0; ctx.Err() == nil; n++ {
		job := &clientJob{id: fmt.Sprintf("%08x%08x", uint32(s.cfg.seed), n), tasks: 2 + n%6}
		s.mu.Lock()
		s.jobs = append(s.jobs, job)
		s.mu.Unlock()
		first := n % len(s.nodes)
		group.Go(func() { s.submit(job, first) })
		time.Sleep(jobInterval)
	}
	group.Wait()
}

// submit submits a job to one node after another until one accepts it, five times at most.
func (s *soak) submit(job *clientJob, first int) {
	body, err := json.Marshal(map[string]any{"spec": "x", "steps": []map[string]any{
		{"count": job.tasks, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 700},
		{"count": 1, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 700, "after": []int{0}},
	}})
	if err != nil {
		panic(err)
	}
	refusals, unknown := 0, false
	for attempt := range 5 {
		status, _ := s.call(http.MethodPost, s.nodes[(first+attempt)%len(s.nodes)], job.id, body)
		switch status {
		case http.StatusOK:
			s.mu.Lock()
			job.accepted = true
			s.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		default:
			unknown = true
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.mu.Lock()
	job.refused = refusals > 0 && !unknown
	s.mu.Unlock()
}

// call sends a request and returns the status and body of the response, or 0 if there was no response.
func (s *soak) call(method string, p *process, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+p.clientAddr+jobPathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	res, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, response
}

// awaitJobs polls the states of accepted jobs until all have completed or the timeout has passed.
func (s *soak) awaitJobs(ctx context.Context) {
	deadline := time.Now().Add(completionTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		pending := 0
		for i, job := range s.jobs {
			if !job.accepted || job.state == "completed" {
				continue
			}
			status, response := s.call(http.MethodGet, s.nodes[i%len(s.nodes)], job.id, nil)
			var state struct{ State string }
			if status == http.StatusOK && json.Unmarshal(response, &state) == nil {
				job.state = state.State
			} else {
				job.state = fmt.Sprintf("status %d", status)
			}
			if job.state == "completed" {
				job.completedAt = time.Now()
			} else {
				pending++
			}
		}
		if pending == 0 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// check compares what clients and runners observed with the guarantees.
func (s *soak) check() {
	violate := func(format string, args ...any) {
		s.summary.violations = append(s.summary.violations, fmt.Sprintf(format, args...))
	}
	for _, task := range s.platform.fleet.Overlaps() {
		violate("task %v ran in two places at once", task)
	}
	starts := s.platform.fleet.Starts()
	s.summary.starts = len(starts)
	byJob := map[string]int{}
	for _, start := range starts {
		byJob[start.Task.Job]++
	}
	for _, job := range s.jobs {
		switch {
		case job.accepted:
			s.summary.accepted++
			if job.state != "completed" {
				violate("accepted job %s is %q", job.id, job.state)
			} else {
				s.summary.completed++
			}
		case job.refused:
			s.summary.refused++
			if byJob[job.id] > 0 {
				violate("job %s was refused at each attempt and has run", job.id)
			}
		}
	}
	for _, start := range starts {
		for _, job := range s.jobs {
			if job.id == start.Task.Job && !job.completedAt.IsZero() && start.At.After(job.completedAt) {
				violate("task %v started after its job was shown as completed", start.Task)
			}
		}
	}
}

// clearFaults ends all faults of the emulated platform.
func (s *soak) clearFaults() {
	s.platform.store.SetFault(emulator.StoreWorks)
	for _, info := range s.platform.infos {
		if _, alive := s.platform.fleet.Info(info.ID); !alive {
			s.platform.fleet.Restart(info.ID)
		}
		s.platform.fleet.SetFault(info.ID, emulator.RunnerWorks)
	}
}
