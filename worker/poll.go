package worker

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// Poll implements infra.PollServer.
func (h *Holder) Poll(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	received := time.Now()
	hold := min(time.Duration(req.HoldMillis)*time.Millisecond, maxHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()

	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.admit(ctx, req, timer.C); err != nil {
		return infra.PollResponse{}, err
	}
	l := h.leases[req.Worker]
	h.take(l, req, received)
	poll := l.poll
	if l.stops() {
		timer.Reset(min(hold, stopHold))
	}
	if err := h.hold(ctx, l, poll, timer.C); err != nil {
		return infra.PollResponse{}, err
	}
	if l.state != attached || l.incarnation != req.Incarnation {
		return infra.PollResponse{}, h.stale(req)
	}
	return h.answer(l, req, received)
}

func (h *Holder) stale(req infra.PollRequest) error {
	return &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: h.cfg.Epoch}
}

// admit waits until no attach of the worker is in flight and checks that the poll belongs to the attached incarnation.
// While an attach is in flight no poll is taken, so that its answer is never older than a report already handled.
func (h *Holder) admit(ctx context.Context, req infra.PollRequest, deadline <-chan time.Time) error {
	for {
		l := h.leases[req.Worker]
		if h.closed || l == nil || req.Epoch != h.cfg.Epoch || req.Cell != h.cfg.Cell {
			return h.stale(req)
		}
		if !l.attaching {
			if l.state == attached && l.incarnation == req.Incarnation {
				return nil
			}
			l.nextAttach = time.Time{}
			notify(h.attachCh)
			return h.stale(req)
		}
		if err := h.wait(ctx, l, deadline); err != nil {
			return err
		}
	}
}

// wait releases the lock until l changes. It returns an error when the deadline passes or ctx ends.
func (h *Holder) wait(ctx context.Context, l *lease, deadline <-chan time.Time) error {
	changed := l.changed
	h.mu.Unlock()
	defer h.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-deadline:
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// take records what the poll reports.
func (h *Holder) take(l *lease, req infra.PollRequest, received time.Time) {
	firstPoll := received.Sub(l.lastPoll) > silentAfter
	l.lastPoll, l.lastHeard = received, received
	l.poll++
	l.touch()
	h.takeReports(l, req.Reports)
	if len(req.Usage) > 0 || firstPoll {
		h.emit(Event{Worker: l.id, Incarnation: l.incarnation, Usage: req.Usage})
	}
}

func (h *Holder) takeReports(l *lease, reports []infra.Report) {
	for _, r := range reports {
		if r.Seq <= l.received {
			continue
		}
		l.received = r.Seq
		l.reported(r)
		h.emit(Event{Worker: l.id, Incarnation: l.incarnation, Report: &r})
	}
}

// hold returns once there is a command to send or the hold time is over.
func (h *Holder) hold(ctx context.Context, l *lease, poll int64, deadline <-chan time.Time) error {
	for {
		if h.closed || l.poll != poll {
			return errSuperseded
		}
		if l.state != attached || h.sendable(l, time.Now()) {
			return nil
		}
		err := h.wait(ctx, l, deadline)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			break
		}
	}
	if h.closed || l.poll != poll {
		return errSuperseded
	}
	return nil
}

// answer grants the lease. The worker counts it from when it sent the poll, which is never after received.
func (h *Holder) answer(l *lease, req infra.PollRequest, received time.Time) (infra.PollResponse, error) {
	now := time.Now()
	if !now.Before(h.cfg.GrantUntil()) {
		return infra.PollResponse{}, h.stale(req)
	}
	if deadline := now.Add(h.cfg.Lease); deadline.After(l.deadline) {
		l.deadline = deadline
	}
	return infra.PollResponse{
		LeaseMillis:       (now.Sub(received) + h.cfg.Lease).Milliseconds(),
		StartPermitMillis: max(0, h.cfg.PermitUntil().Sub(received).Milliseconds()),
		AckSeq:            l.acked,
		Commands:          h.collect(l, now),
	}, nil
}

// Ack acknowledges all reports of an incarnation up to seq. It is called once the table holds their effects.
func (h *Holder) Ack(id, incarnation string, seq int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil || l.incarnation != incarnation {
		return
	}
	l.acked = max(l.acked, seq)
}
