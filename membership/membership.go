// Package membership follows the VM list. The list lags, so what it shows is a hint and never a proof.
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

// Watcher reads the VM list from time to time and keeps the last answer while the list is away.
// It is safe for concurrent use.
type Watcher struct {
	list     infra.VMList
	interval func() time.Duration

	mu  sync.Mutex // guards the fields below
	vms []infra.VM
}

// NewWatcher returns a watcher that reads list each interval once Run is called.
func NewWatcher(list infra.VMList, interval func() time.Duration) *Watcher {
	return &Watcher{list: list, interval: interval}
}

// Run reads the list until ctx ends. Reads are jittered, so that a mass restart does not synchronize them.
func (w *Watcher) Run(ctx context.Context) {
	for {
		_, _ = w.List(ctx) // the last answer stays in use
		interval := w.interval()
		jitter := time.Duration(rand.Int64N(int64(interval)/5 + 1))
		if !wait.For(ctx, interval-interval/10+jitter) {
			return
		}
	}
}

// List reads the list once and keeps the answer. It lets a Watcher stand in for the list where another loop reads it.
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

// VMs returns the last answer. It must not be changed.
func (w *Watcher) VMs() []infra.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// Entries returns the live and leaving entry VMs of a failure domain, or of all if domain is empty.
func (w *Watcher) Entries(domain string) []infra.VM {
	var entries []infra.VM
	for _, vm := range w.VMs() {
		if vm.Role == infra.RoleEntry && (domain == "" || vm.Domain == domain) {
			entries = append(entries, vm)
		}
	}
	return entries
}

// Rank orders VMs by rendezvous hash for a key: all VMs agree on the order, and it changes little as VMs come and go.
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
