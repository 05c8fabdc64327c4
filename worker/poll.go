package worker

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// Poll implements infra.PollServer.
func (m *LeaseManager) Poll(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	received := time.Now()
	hold := min(time.Duration(req.HoldMillis)*time.Millisecond, maxHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()

	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(ctx, req, timer.C); err != nil {
		return infra.PollResponse{}, err
	}
	l := m.leases[req.Worker]
	m.recordPoll(l, req, received)
	poll := l.pollCount
	if l.stopInFlight() {
		timer.Reset(min(hold, stopHold))
	}
	if err := m.awaitCommand(ctx, l, poll, timer.C); err != nil {
		return infra.PollResponse{}, err
	}
	if l.state != attached || l.incarnation != req.Incarnation {
		return infra.PollResponse{}, m.staleEpochError(req)
	}
	return m.grant(l, req, received)
}

// staleEpochError returns the error for a poll that does not belong to the attached incarnation and epoch.
func (m *LeaseManager) staleEpochError(req infra.PollRequest) error {
	return &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: m.cfg.Epoch}
}

// admit waits until no attach call to the worker is in flight and checks that the poll belongs to the attached incarnation.
// Polls are not processed during an attach call, so that its response is never older than a report already handled.
func (m *LeaseManager) admit(ctx context.Context, req infra.PollRequest, deadline <-chan time.Time) error {
	for {
		l := m.leases[req.Worker]
		if m.closed || l == nil || req.Epoch != m.cfg.Epoch || req.Cell != m.cfg.Cell {
			return m.staleEpochError(req)
		}
		if !l.attaching {
			if l.state == attached && l.incarnation == req.Incarnation {
				return nil
			}
			l.nextAttach = time.Time{}
			notify(m.attachCh)
			return m.staleEpochError(req)
		}
		if err := m.awaitChange(ctx, l, deadline); err != nil {
			return err
		}
	}
}

// awaitChange unlocks mu until l changes. It returns an error if the deadline passes or ctx ends first.
func (m *LeaseManager) awaitChange(ctx context.Context, l *lease, deadline <-chan time.Time) error {
	changed := l.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-deadline:
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordPoll records the time of a poll and emits its reports and usage as events.
func (m *LeaseManager) recordPoll(l *lease, req infra.PollRequest, received time.Time) {
	firstPoll := received.Sub(l.lastPoll) > silentAfter
	l.lastPoll, l.lastContact = received, received
	l.pollCount++
	l.signalChange()
	m.recordReports(l, req.Reports)
	if len(req.Usage) > 0 || firstPoll {
		m.emit(Event{Worker: l.id, Incarnation: l.incarnation, Usage: req.Usage})
	}
}

// recordReports emits the reports that were not received before and drops the commands that they confirm.
func (m *LeaseManager) recordReports(l *lease, reports []infra.Report) {
	for _, r := range reports {
		if r.Seq <= l.received {
			continue
		}
		l.received = r.Seq
		l.dropConfirmed(r)
		m.emit(Event{Worker: l.id, Incarnation: l.incarnation, Report: &r})
	}
}

// awaitCommand returns when a command is due or the hold time is over.
func (m *LeaseManager) awaitCommand(ctx context.Context, l *lease, poll int64, deadline <-chan time.Time) error {
	for {
		if m.closed || l.pollCount != poll {
			return errSuperseded
		}
		if l.state != attached || m.hasDueCommand(l, time.Now()) {
			return nil
		}
		err := m.awaitChange(ctx, l, deadline)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			break
		}
	}
	if m.closed || l.pollCount != poll {
		return errSuperseded
	}
	return nil
}

// grant renews the lease and returns the poll response. The worker counts durations from when it sent the poll, which is
// never later than received.
func (m *LeaseManager) grant(l *lease, req infra.PollRequest, received time.Time) (infra.PollResponse, error) {
	now := time.Now()
	if !now.Before(m.cfg.GrantUntil()) {
		return infra.PollResponse{}, m.staleEpochError(req)
	}
	if deadline := now.Add(m.cfg.Lease); deadline.After(l.deadline) {
		l.deadline = deadline
	}
	return infra.PollResponse{
		LeaseMillis:       (now.Sub(received) + m.cfg.Lease).Milliseconds(),
		StartPermitMillis: max(0, m.cfg.PermitUntil().Sub(received).Milliseconds()),
		AckSeq:            l.acked,
		Commands:          m.collectDue(l, now),
	}, nil
}

// Ack acknowledges all reports of an incarnation up to seq. It is called after their effects are committed to the table.
func (m *LeaseManager) Ack(id, incarnation string, seq int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil || l.incarnation != incarnation {
		return
	}
	l.acked = max(l.acked, seq)
}
