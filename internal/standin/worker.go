package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

const (
	// pollHold is how long an owner may hold a poll (docs/design.md §5).
	pollHold = time.Second
	// shortPollHold is used while an attempt is about to end, so that its report does not wait for a held poll.
	shortPollHold = 50 * time.Millisecond
	// usageInterval is the time between two measurements of usage.
	usageInterval = time.Second
	// saveTimeout bounds the storing of a checkpoint before a stop. After it, the attempt stops without.
	saveTimeout = 2 * time.Second
	// maxReports bounds the reports of one poll.
	maxReports = 500

	pollRetryInitial = 50 * time.Millisecond
	pollRetryMax     = time.Second
)

// Poller sends polls to the owner of a cell. *infra.PollClient is one.
type Poller interface {
	Poll(ctx context.Context, ownerURL string, req infra.PollRequest) (infra.PollResponse, error)
}

// Replica is the open runner of a service task.
type Replica interface {
	// SetSlowdown slows the runner's work down.
	SetSlowdown(factor float64)
	// Close refuses new requests, finishes those in flight within the runner's grace time and stops listening.
	Close()
	// Kill stops at once.
	Kill()
}

// WorkerConfig configures one incarnation of a worker.
type WorkerConfig struct {
	ID, Domain   string
	Capacity     job.Resources
	Poller       Poller
	Objects      infra.Objects
	Interference *Interference
	Journal      *Journal
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// Open opens the runner of a service task.
	Open func(ref infra.AttemptRef, spec job.TaskSpec) (Replica, error)
	// Resident is a runner that exists besides the tasks; nil means none. ResidentKind and ResidentShare describe it
	// to the interference model.
	Resident      Replica
	ResidentKind  string
	ResidentShare float64
	// Seed makes the jitter of polls repeatable.
	Seed uint64
}

// WorkerFaults are the fault switches of a worker.
type WorkerFaults struct {
	// FailAll makes every attempt fail soon after its start.
	FailAll bool `json:"fail_all,omitempty"`
	// UsageLagMillis is the age of usage reports; nil means that of the configuration.
	UsageLagMillis *int64 `json:"usage_lag_ms,omitempty"`
	// CutOwner keeps the worker's polls from reaching the cell's owner.
	CutOwner bool `json:"cut_owner,omitempty"`
	// SpeedPercent is the speed of the worker's processors; 0 means 100.
	SpeedPercent int `json:"speed_percent,omitempty"`
}

// Worker is one incarnation of a worker. It follows docs/design.md §5.
type Worker struct {
	cfg         WorkerConfig
	incarnation string

	mu sync.Mutex // owned by the exported methods, the poll loop and the timer
	// epochs holds the highest epoch seen for each cell.
	epochs map[string]int64
	owner  infra.AttachRequest
	// attached is closed and replaced by each attach, and cancelPoll ends the poll to the owner before.
	attached   chan struct{}
	cancelPoll context.CancelFunc
	leaseUntil time.Time
	attempts   map[job.TaskID]*attempt
	// seen holds the highest attempt seen of each task and how it ended.
	seen map[job.TaskID]infra.Report
	// nextSeq is the Seq of the newest report, and reports holds those that are not acknowledged.
	nextSeq int64
	reports []infra.Report
	faults  WorkerFaults
	usage   []usageSample
	// settledAt is the instant up to which the progress of all attempts is counted.
	settledAt time.Time
	sampledAt time.Time
	timer     *time.Timer
	dead      bool
}

// usageSample is a measurement that waits until it is old enough to be reported.
type usageSample struct {
	at    time.Time
	usage []infra.Usage
}

// NewWorker returns a worker that runs nothing and waits to be attached.
func NewWorker(cfg WorkerConfig, faults WorkerFaults) *Worker {
	now := time.Now()
	w := &Worker{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		epochs:      map[string]int64{},
		attached:    make(chan struct{}),
		attempts:    map[job.TaskID]*attempt{},
		seen:        map[job.TaskID]infra.Report{},
		faults:      faults,
		settledAt:   now,
		sampledAt:   now,
	}
	w.timer = time.AfterFunc(time.Hour, w.wake)
	w.timer.Stop()
	return w
}

// SetFaults replaces the fault switches.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.faults = f
	w.reschedule()
}

// Faults returns the fault switches.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Kill ends every attempt without a report, as the death of the VM does.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	w.dead = true
	w.timer.Stop()
	for _, a := range w.attempts {
		w.cfg.Journal.ended(a.journal, now, infra.RunStopped, false)
		if a.replica != nil {
			a.replica.Kill()
		}
	}
	w.attempts = nil
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// Attach makes the sender the owner that the worker polls. It refuses a lower epoch than the highest seen of the cell.
func (w *Worker) Attach(req infra.AttachRequest) (infra.AttachResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if highest := w.epochs[req.Cell]; req.Epoch < highest {
		w.cfg.Journal.stale()
		return infra.AttachResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: highest}
	}
	w.advance(time.Now())
	w.epochs[req.Cell] = req.Epoch
	w.owner = req
	// From here on the answer to an outstanding poll of the previous owner has no effect.
	if w.cancelPoll != nil {
		w.cancelPoll()
		w.cancelPoll = nil
	}
	close(w.attached)
	w.attached = make(chan struct{})
	response := infra.AttachResponse{
		Worker: w.cfg.ID, Incarnation: w.incarnation, Capacity: w.cfg.Capacity,
		Running: []infra.AttemptRef{}, Reports: append([]infra.Report{}, w.reports...),
	}
	for _, a := range w.attempts {
		response.Running = append(response.Running, a.ref)
	}
	return response, nil
}

// Run polls the owner until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = pollRetryInitial, pollRetryMax
	// The backoff's own jitter has no seed, so the jitter comes from rng.
	retry.RandomizationFactor = 0
	rng := rand.New(rand.NewPCG(w.cfg.Seed, 0))
	for ctx.Err() == nil {
		wait, err := w.pollOnce(ctx)
		var stale *infra.StaleEpochError
		switch {
		case err == nil:
			retry.Reset()
		case errors.Is(err, errNotAttached) || errors.As(err, &stale):
			select {
			case <-wait:
			case <-ctx.Done():
			}
		default:
			timer := time.NewTimer(time.Duration(rng.Float64() * float64(retry.NextBackOff())))
			select {
			case <-wait:
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
		}
	}
}

var (
	errNotAttached = errors.New("worker is not attached")
	errCutOwner    = errors.New("worker is cut off from the cell's owner")
)

// pollOnce sends one poll and applies its answer. wait is closed by the next attach after the one it polled.
func (w *Worker) pollOnce(ctx context.Context) (wait <-chan struct{}, err error) {
	// The lease and the permit count from this instant, which is before the poll is sent.
	sent := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, owner, wait, err := w.preparePoll(sent, cancel)
	if err != nil {
		return wait, err
	}
	res, err := w.cfg.Poller.Poll(ctx, owner, req)
	if err != nil {
		return wait, err
	}
	w.applyPoll(sent, wait, res)
	return wait, nil
}

func (w *Worker) preparePoll(sent time.Time, cancel context.CancelFunc) (infra.PollRequest, string, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(sent)
	if w.owner.OwnerURL == "" {
		return infra.PollRequest{}, "", w.attached, errNotAttached
	}
	if w.faults.CutOwner {
		return infra.PollRequest{}, "", w.attached, errCutOwner
	}
	w.cancelPoll = cancel
	reports := w.reports[:min(len(w.reports), maxReports)]
	return infra.PollRequest{
		Worker: w.cfg.ID, Incarnation: w.incarnation, Cell: w.owner.Cell, Epoch: w.owner.Epoch,
		Reports: append([]infra.Report{}, reports...), Usage: w.dueUsage(sent),
		HoldMillis: w.hold(sent).Milliseconds(),
	}, w.owner.OwnerURL, w.attached, nil
}

// hold returns how long the owner may hold a poll that is sent now. The caller holds w.mu.
func (w *Worker) hold(now time.Time) time.Duration {
	if len(w.reports) > maxReports {
		return 0
	}
	hold := pollHold
	for _, a := range w.attempts {
		if a.ending {
			hold = shortPollHold
		}
		if at := w.finishTime(a); !at.IsZero() {
			hold = min(hold, max(at.Sub(now), shortPollHold))
		}
	}
	return hold
}

// applyPoll applies the answer to the poll sent at sent while attached was the channel of the current attach.
func (w *Worker) applyPoll(sent time.Time, attached <-chan struct{}, res infra.PollResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || attached != w.attached {
		return
	}
	now := time.Now()
	w.advance(now)
	w.cancelPoll = nil
	if until := sent.Add(res.Lease()); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	for len(w.reports) > 0 && w.reports[0].Seq <= res.AckSeq {
		w.reports = w.reports[1:]
	}
	for _, c := range res.Commands {
		w.apply(c, now, sent.Add(res.StartPermit()))
	}
	w.reschedule()
}

// apply applies one command. The caller holds w.mu.
func (w *Worker) apply(c infra.Command, now, permitUntil time.Time) {
	switch c.Kind {
	case infra.CommandStart:
		w.start(c, now, permitUntil)
	case infra.CommandStop:
		w.stop(c, now)
	case infra.CommandCheckpoint:
		if a := w.find(c.Ref); a != nil && !a.ending {
			w.save(a)
		}
	case infra.CommandThrottle:
		if a := w.find(c.Ref); a != nil {
			a.cpuPercent = min(max(c.CPUPercent, 1), 100)
		}
	}
}

func (w *Worker) find(ref infra.AttemptRef) *attempt {
	a := w.attempts[ref.Task]
	if a == nil || a.ref != ref {
		return nil
	}
	return a
}

// start starts an attempt or refuses it. The caller holds w.mu.
func (w *Worker) start(c infra.Command, now, permitUntil time.Time) {
	if w.repeatEnd(c.Ref) {
		return
	}
	// An earlier attempt that still runs makes this one a mistake of the owner, which must not end in two running.
	switch {
	case w.attempts[c.Ref.Task] != nil:
		w.refuse(c.Ref, "earlier attempt still runs")
	case !now.Before(permitUntil):
		w.refuse(c.Ref, "start permit ran out")
	case !now.Before(w.leaseUntil):
		w.refuse(c.Ref, "lease ran out")
	default:
		w.begin(c, now)
	}
}

// repeatEnd reports whether the worker has seen ref or a later attempt of its task. It reports the end of ref again
// unless that report is still outstanding. The caller holds w.mu.
func (w *Worker) repeatEnd(ref infra.AttemptRef) bool {
	last, found := w.seen[ref.Task]
	if !found || last.Ref.Attempt < ref.Attempt {
		return false
	}
	if w.find(ref) != nil {
		return true
	}
	for _, r := range w.reports {
		if r.Ref == ref && r.State.Ended() {
			return true
		}
	}
	if last.Ref != ref {
		last = infra.Report{Ref: ref, State: infra.RunStopped, Error: "a later attempt was seen"}
	}
	w.report(last)
	return true
}

func (w *Worker) refuse(ref infra.AttemptRef, reason string) {
	w.cfg.Journal.refused(reason)
	end := infra.Report{Ref: ref, State: infra.RunStopped, Error: reason}
	w.seen[ref.Task] = end
	w.report(end)
}

// stop stops an attempt. A stop of an attempt not yet seen makes the worker refuse its start. The caller holds w.mu.
func (w *Worker) stop(c infra.Command, now time.Time) {
	a := w.find(c.Ref)
	switch {
	case a == nil && w.repeatEnd(c.Ref):
	case a == nil:
		w.refuse(c.Ref, "stopped before start")
	case a.ending:
	case a.spec.Class == job.ClassService:
		a.ending = true
		go func() {
			a.replica.Close()
			w.finishStop(a)
		}()
	case c.SaveCheckpoint && !a.loading:
		a.ending = true
		w.save(a)
		a.lastSave = a.saves
	default:
		w.end(a, now, infra.RunStopped, "")
	}
}

// report queues a report until it is acknowledged. The caller holds w.mu.
func (w *Worker) report(r infra.Report) {
	w.nextSeq++
	r.Seq = w.nextSeq
	w.reports = append(w.reports, r)
}
