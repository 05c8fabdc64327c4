package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

const (
	// attachTimeout is the deadline of one attach call. It also limits how long a poll waits for the call.
	attachTimeout       = time.Second
	attachInterval      = 100 * time.Millisecond
	maxParallelAttaches = 64
	// minAttachBackoff and maxAttachBackoff bound the time between attempts to attach the same worker, before jitter.
	minAttachBackoff = 200 * time.Millisecond
	maxAttachBackoff = 5 * time.Second
)

// runAttach attaches workers that are not attached or that have stopped polling, until ctx ends.
func (m *LeaseManager) runAttach(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxParallelAttaches)
	ticker := time.NewTicker(attachInterval)
	defer ticker.Stop()
	for {
		for _, target := range m.attachTargets(time.Now(), maxParallelAttaches-len(slots)) {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() {
					<-slots
					notify(m.attachCh)
				}()
				m.attach(ctx, target)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.attachCh:
		}
	}
}

type attachTarget struct{ id, addr string }

// attachTargets returns at most limit workers that are due for an attach call, and marks them as attaching.
func (m *LeaseManager) attachTargets(now time.Time, limit int) []attachTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	var due []*lease
	for _, l := range m.leases {
		current := l.state == attached && now.Sub(l.lastContact) <= silentAfter
		if l.addr != "" && !l.attaching && !current && !now.Before(l.nextAttach) {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int { return a.nextAttach.Compare(b.nextAttach) })
	var targets []attachTarget
	for _, l := range due[:min(limit, len(due))] {
		l.attaching = true
		l.attachBackoff = min(max(2*l.attachBackoff, minAttachBackoff), maxAttachBackoff)
		l.nextAttach = now.Add(l.attachBackoff/2 + time.Duration(m.cfg.Rand.Int64N(int64(l.attachBackoff))))
		targets = append(targets, attachTarget{l.id, l.addr})
	}
	return targets
}

// attach sends one attach call to a worker and records its response.
func (m *LeaseManager) attach(ctx context.Context, target attachTarget) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	resp, err := m.cfg.Workers.Attach(ctx, target.addr, infra.AttachRequest{
		Cell: m.cfg.Cell, Epoch: m.cfg.Epoch, OwnerURL: m.cfg.OwnerURL,
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[target.id]
	if l == nil {
		return
	}
	l.attaching = false
	l.signalChange()
	if err != nil || m.closed || resp.Worker != target.id {
		return
	}
	m.recordAttach(l, resp)
}

// recordAttach records a worker's attach response. From then on the worker refuses earlier epochs, so its lease, whoever
// granted it, runs for at most one term from the first response. An attach grants no lease, so later responses do not
// extend the deadline: otherwise the lease of a worker whose polls are lost while attach calls succeed would never expire.
func (m *LeaseManager) recordAttach(l *lease, resp infra.AttachResponse) {
	first := l.state != attached || l.incarnation != resp.Incarnation
	if l.incarnation != resp.Incarnation {
		l.incarnation = resp.Incarnation
		l.received, l.acked = 0, 0
		l.commands = nil
		l.deadline = time.Time{}
	}
	now := time.Now()
	if deadline := now.Add(m.cfg.Lease); first && deadline.After(l.deadline) {
		l.deadline = deadline
	}
	if first {
		l.lastPoll = time.Time{}
	}
	l.state = attached
	l.expiredBy = time.Time{}
	l.lastContact = now
	l.attachBackoff = 0
	m.recordReports(l, resp.Reports)
	m.emit(Event{Worker: l.id, Incarnation: l.incarnation, Attached: &resp})
}
