// Package membership keeps a copy of the platform's VM list. The list lags behind reality, so it must be treated as a hint.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
)

// Watcher reads the VM list periodically and keeps the last result while the list is unavailable. It is safe for concurrent
// use.
type Watcher struct {
	list     infra.VMList
	interval func() time.Duration

	mu  sync.Mutex // guards the fields below
	vms []infra.VM
}

// NewWatcher returns a watcher that reads list at the given interval while Run is running.
func NewWatcher(list infra.VMList, interval func() time.Duration) *Watcher {
	return &Watcher{list: list, interval: interval}
}

// Run reads the list periodically until ctx ends. The interval is jittered, so that VMs that restart together do not read
// at the same time.
func (w *Watcher) Run(ctx context.Context) {
	for {
		_, _ = w.List(ctx) // on failure the last result stays in use
		interval := w.interval()
		jitter := time.Duration(rand.Int64N(int64(interval)/5 + 1))
		if !wait.For(ctx, interval-interval/10+jitter) {
			return
		}
	}
}

// List reads the list once and keeps the result. It implements infra.VMList, for callers that read the list in their own
// loop instead of Run.
func (w *Watcher) List(ctx context.Context) ([]infra.VM, error) {
	vms, err := w.list.List(ctx)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = vms
	return vms, nil
}

// VMs returns the last result. The caller must not modify it.
func (w *Watcher) VMs() []infra.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// Entries returns the entry VMs, live or leaving, of a failure domain, or of all domains if domain is empty.
func (w *Watcher) Entries(domain string) []infra.VM {
	var entries []infra.VM
	for _, vm := range w.VMs() {
		if vm.Role == infra.RoleEntry && (domain == "" || vm.Domain == domain) {
			entries = append(entries, vm)
		}
	}
	return entries
}

// Rank orders VMs by rendezvous hash for a key. All VMs compute the same order, and it changes little when VMs are added or
// removed.
func Rank(key string, vms []infra.VM) []infra.VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b infra.VM) int {
		weightA, weightB := xxhash.Sum64String(key+"/"+a.ID), xxhash.Sum64String(key+"/"+b.ID)
		switch {
		case weightA < weightB:
			return -1
		case weightA > weightB:
			return 1
		default:
			return strings.Compare(a.ID, b.ID)
		}
	})
	return ranked
}
