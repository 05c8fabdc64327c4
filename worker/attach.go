package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

const (
	// attachTimeout bounds one attach call, and with it how long polls wait for it.
	attachTimeout  = time.Second
	attachInterval = 100 * time.Millisecond
	attachParallel = 64
	// attachWaitMin and attachWaitMax bound the time between attempts to attach the same worker, before jitter.
	attachWaitMin = 200 * time.Millisecond
	attachWaitMax = 5 * time.Second
)

// runAttach attaches workers that are not attached or have gone silent, until ctx ends.
func (h *Holder) runAttach(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, attachParallel)
	ticker := time.NewTicker(attachInterval)
	defer ticker.Stop()
	for {
		for _, target := range h.attachTargets(time.Now(), attachParallel-len(slots)) {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() {
					<-slots
					notify(h.attachCh)
				}()
				h.attach(ctx, target)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.attachCh:
		}
	}
}

type attachTarget struct{ id, addr string }

// attachTargets picks at most limit workers that are due and marks them as attaching.
func (h *Holder) attachTargets(now time.Time, limit int) []attachTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	var due []*lease
	for _, l := range h.leases {
		current := l.state == attached && now.Sub(l.lastHeard) <= silentAfter
		if l.addr != "" && !l.attaching && !current && !now.Before(l.nextAttach) {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int { return a.nextAttach.Compare(b.nextAttach) })
	var targets []attachTarget
	for _, l := range due[:min(limit, len(due))] {
		l.attaching = true
		l.attachWait = min(max(2*l.attachWait, attachWaitMin), attachWaitMax)
		l.nextAttach = now.Add(l.attachWait/2 + time.Duration(h.cfg.Rand.Int64N(int64(l.attachWait))))
		targets = append(targets, attachTarget{l.id, l.addr})
	}
	return targets
}

func (h *Holder) attach(ctx context.Context, target attachTarget) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	resp, err := h.cfg.Workers.Attach(ctx, target.addr, infra.AttachRequest{
		Cell: h.cfg.Cell, Epoch: h.cfg.Epoch, OwnerURL: h.cfg.OwnerURL,
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[target.id]
	if l == nil {
		return
	}
	l.attaching = false
	l.touch()
	if err != nil || h.closed || resp.Worker != target.id {
		return
	}
	h.attached(l, resp)
}

// attached records a worker's answer. The worker now refuses earlier epochs, so its lease, whoever granted it, runs for
// at most one term from the first answer. An attach grants no lease, so the answers after the first move no deadline:
// otherwise a worker whose polls are lost while attaches arrive would never be found to have lapsed.
func (h *Holder) attached(l *lease, resp infra.AttachResponse) {
	first := l.state != attached || l.incarnation != resp.Incarnation
	if l.incarnation != resp.Incarnation {
		l.incarnation = resp.Incarnation
		l.received, l.acked = 0, 0
		l.commands = nil
		l.deadline = time.Time{}
	}
	now := time.Now()
	if deadline := now.Add(h.cfg.Lease); first && deadline.After(l.deadline) {
		l.deadline = deadline
	}
	if first {
		l.lastPoll = time.Time{}
	}
	l.state = attached
	l.provenAt = time.Time{}
	l.lastHeard = now
	l.attachWait = 0
	h.takeReports(l, resp.Reports)
	h.emit(Event{Worker: l.id, Incarnation: l.incarnation, Attached: &resp})
}
