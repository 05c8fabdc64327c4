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
	// pollHold is how long an owner may delay the response to a poll (docs/design.md §5).
	pollHold = time.Second
	// shortPollHold is used while an attempt is about to end, so that a delayed response does not hold up its report.
	shortPollHold = 50 * time.Millisecond
	// usageInterval is the time between two measurements of usage.
	usageInterval = time.Second
	// saveTimeout bounds reads and writes of a checkpoint. An attempt whose last checkpoint is not stored in time stops
	// without it.
	saveTimeout = 2 * time.Second
	// maxReports bounds the reports in one poll.
	maxReports = 500

	pollRetryInitial = 50 * time.Millisecond
	pollRetryMax     = time.Second
)

// Poller sends polls to the owner of a cell. *infra.PollClient implements it.
type Poller interface {
	Poll(ctx context.Context, ownerURL string, req infra.PollRequest) (infra.PollResponse, error)
}

// Replica is the runner that a service task opened.
type Replica interface {
	// SetSlowdown sets the factor by which the runner's requests take longer.
	SetSlowdown(factor float64)
	// Close refuses new requests, waits for those in flight up to the runner's grace period and stops listening.
	Close()
	// Kill stops the runner at once.
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
	// Open starts the runner of a service task.
	Open func(ref infra.AttemptRef, spec job.TaskSpec) (Replica, error)
	// Resident is a runner on the VM that belongs to no task; nil means none. ResidentKind and ResidentShare describe it
	// to the interference model.
	Resident      Replica
	ResidentKind  string
	ResidentShare float64
	// Seed makes the jitter of poll retries reproducible.
	Seed uint64
}

// WorkerFaults are the fault switches of a worker.
type WorkerFaults struct {
	// FailAll makes every attempt fail soon after its start.
	FailAll bool `json:"fail_all,omitempty"`
	// UsageLagMillis is the age of usage reports; nil means the configured age.
	UsageLagMillis *int64 `json:"usage_lag_ms,omitempty"`
	// CutOwner makes the worker's polls to the cell's owner fail.
	CutOwner bool `json:"cut_owner,omitempty"`
	// SpeedPercent is the speed of the worker's processors; 0 means 100.
	SpeedPercent int `json:"speed_percent,omitempty"`
}

// Worker is one incarnation of a worker. It implements the worker side of docs/design.md §5.
type Worker struct {
	cfg         WorkerConfig
	incarnation string

	mu sync.Mutex // guards the fields below
	// epochs holds the highest epoch seen for each cell.
	epochs map[string]int64
	owner  infra.AttachRequest
	// attached is closed and replaced by each attach. cancelPoll cancels the poll to the previous owner.
	attached   chan struct{}
	cancelPoll context.CancelFunc
	leaseUntil time.Time
	attempts   map[job.TaskID]*attempt
	// latest holds the newest report of the highest attempt seen of each task.
	latest map[job.TaskID]infra.Report
	// lastSeq is the Seq of the newest report. reports holds the reports that are not acknowledged.
	lastSeq int64
	reports []infra.Report
	faults  WorkerFaults
	usage   []usageSample
	// accruedAt is the time up to which the work of all attempts is counted.
	accruedAt time.Time
	sampledAt time.Time
	timer     *time.Timer
	dead      bool
}

// usageSample is a measurement that waits until it is old enough to be reported.
type usageSample struct {
	at    time.Time
	usage []infra.Usage
}

// NewWorker returns an idle worker that is not attached to an owner.
func NewWorker(cfg WorkerConfig, faults WorkerFaults) *Worker {
	now := time.Now()
	w := &Worker{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		epochs:      map[string]int64{},
		attached:    make(chan struct{}),
		attempts:    map[job.TaskID]*attempt{},
		latest:      map[job.TaskID]infra.Report{},
		faults:      faults,
		accruedAt:   now,
		sampledAt:   now,
	}
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
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

// Kill ends every attempt without a report, like a crash of the VM.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	w.dead = true
	w.timer.Stop()
	for _, a := range w.attempts {
		w.cfg.Journal.recordEnd(a.journalIndex, now, infra.RunStopped, false)
		if a.replica != nil {
			a.replica.Kill()
		}
	}
	w.attempts = nil
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// Attach makes the sender the owner that the worker polls. It refuses an epoch below the highest one seen of the cell.
func (w *Worker) Attach(req infra.AttachRequest) (infra.AttachResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if highest := w.epochs[req.Cell]; req.Epoch < highest {
		w.cfg.Journal.recordStaleEpoch()
		return infra.AttachResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: highest}
	}
	w.advance(time.Now())
	w.epochs[req.Cell] = req.Epoch
	w.owner = req
	// From here on the response to an outstanding poll of the previous owner has no effect.
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
	// The jitter of the backoff package cannot be seeded, so the jitter comes from rng.
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

// pollOnce sends one poll and applies the response. wait is closed by the next attach after the one that it polled for.
func (w *Worker) pollOnce(ctx context.Context) (wait <-chan struct{}, err error) {
	// The lease and the permit count from this time, before the poll is sent.
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
		HoldMillis: w.holdTime(sent).Milliseconds(),
	}, w.owner.OwnerURL, w.attached, nil
}

// holdTime returns how long the owner may delay the response to a poll that is sent now. The caller holds w.mu.
func (w *Worker) holdTime(now time.Time) time.Duration {
	if len(w.reports) > maxReports {
		return 0
	}
	hold := pollHold
	for _, a := range w.attempts {
		if a.stopping {
			hold = shortPollHold
		}
		if at := w.finishTime(a); !at.IsZero() {
			hold = min(hold, max(at.Sub(now), shortPollHold))
		}
	}
	return hold
}

// applyPoll applies the response to a poll. sent is when the poll was sent, attached the channel of the attach at that time.
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
		w.applyCommand(c, now, sent.Add(res.StartPermit()))
	}
	w.reschedule()
}

// applyCommand applies one command. The caller holds w.mu.
func (w *Worker) applyCommand(c infra.Command, now, permitUntil time.Time) {
	switch c.Kind {
	case infra.CommandStart:
		w.handleStart(c, now, permitUntil)
	case infra.CommandStop:
		w.handleStop(c, now)
	case infra.CommandCheckpoint:
		if a := w.findAttempt(c.Ref); a != nil && !a.stopping {
			w.saveCheckpoint(a)
		}
	case infra.CommandThrottle:
		if a := w.findAttempt(c.Ref); a != nil {
			a.cpuPercent = min(max(c.CPUPercent, 1), 100)
		}
	}
}

func (w *Worker) findAttempt(ref infra.AttemptRef) *attempt {
	a := w.attempts[ref.Task]
	if a == nil || a.ref != ref {
		return nil
	}
	return a
}

// handleStart starts an attempt or refuses it. The caller holds w.mu.
func (w *Worker) handleStart(c infra.Command, now, permitUntil time.Time) {
	if w.handleRepeat(c.Ref) {
		return
	}
	// A start while an earlier attempt is running is a fault of the owner. It must not lead to two running attempts.
	switch {
	case w.attempts[c.Ref.Task] != nil:
		w.refuseStart(c.Ref, "earlier attempt still runs")
	case !now.Before(permitUntil):
		w.refuseStart(c.Ref, "start permit ran out")
	case !now.Before(w.leaseUntil):
		w.refuseStart(c.Ref, "lease ran out")
	default:
		w.startAttempt(c, now)
	}
}

// handleRepeat reports whether the worker has seen ref or a later attempt of its task. If ref is not running, it queues a
// report of its end, unless such a report is still unacknowledged. The caller holds w.mu.
func (w *Worker) handleRepeat(ref infra.AttemptRef) bool {
	last, found := w.latest[ref.Task]
	if !found || last.Ref.Attempt < ref.Attempt {
		return false
	}
	if w.findAttempt(ref) != nil {
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
	w.queueReport(last)
	return true
}

func (w *Worker) refuseStart(ref infra.AttemptRef, reason string) {
	w.cfg.Journal.recordRefusal(reason)
	end := infra.Report{Ref: ref, State: infra.RunStopped, Error: reason}
	w.latest[ref.Task] = end
	w.queueReport(end)
}

// handleStop stops an attempt. After a stop of an attempt not yet seen, the worker refuses its start. The caller holds w.mu.
func (w *Worker) handleStop(c infra.Command, now time.Time) {
	a := w.findAttempt(c.Ref)
	switch {
	case a == nil && w.handleRepeat(c.Ref):
	case a == nil:
		w.refuseStart(c.Ref, "stopped before start")
	case a.stopping:
	case a.spec.Class == job.ClassService:
		a.stopping = true
		go func() {
			a.replica.Close()
			w.finishStop(a)
		}()
	case c.SaveCheckpoint && !a.loading:
		a.stopping = true
		w.saveCheckpoint(a)
		a.lastSave = a.saves
	default:
		w.endAttempt(a, now, infra.RunStopped, "")
	}
}

// queueReport queues a report until it is acknowledged. The caller holds w.mu.
func (w *Worker) queueReport(r infra.Report) {
	w.lastSeq++
	r.Seq = w.lastSeq
	w.reports = append(w.reports, r)
}
