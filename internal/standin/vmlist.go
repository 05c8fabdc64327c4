package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// sourceExpiry is how long the VMs of a source stay in the list after its last registration. It covers several lost
// registrations, which come every registerInterval.
const sourceExpiry = 5 * time.Second

// VMList is a list of VMs that shows their state with a lag.
type VMList struct {
	mu      sync.Mutex // guards the fields below
	lag     time.Duration
	sources map[string]vmSource
	history []vmSnapshot // in order of time; the first is the newest that is visible at the maximum lag
}

type vmSource struct {
	vms     []infra.VM
	expires time.Time // zero means never
}

type vmSnapshot struct {
	at  time.Time
	vms []infra.VM
}

// maxLag bounds the lag and thus the history that is kept.
const maxLag = 10 * time.Minute

// NewVMList returns a list with permanent members.
func NewVMList(lag time.Duration, permanent []infra.VM) *VMList {
	l := &VMList{lag: lag, sources: map[string]vmSource{"": {vms: permanent}}}
	l.history = []vmSnapshot{{vms: l.currentVMs()}}
	return l
}

// SetLag changes the age of the shown state, up to ten minutes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = min(lag, maxLag)
}

// Lag returns the age of the shown state.
func (l *VMList) Lag() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag
}

// Register replaces the VMs of a source. They expire unless the source registers again.
func (l *VMList) Register(source string, vms []infra.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expireSources(now)
	changed := !slices.Equal(l.sources[source].vms, vms)
	l.sources[source] = vmSource{vms: slices.Clone(vms), expires: now.Add(sourceExpiry)}
	if changed {
		l.recordSnapshot(now)
	}
}

// List implements infra.VMList.
func (l *VMList) List(context.Context) ([]infra.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expireSources(now)
	visible := l.history[0]
	for _, snapshot := range l.history[1:] {
		if snapshot.at.After(now.Add(-l.lag)) {
			break
		}
		visible = snapshot
	}
	return slices.Clone(visible.vms), nil
}

// expireSources removes the VMs of sources that did not register in time, as of the time at which they expired. The caller
// holds l.mu.
func (l *VMList) expireSources(now time.Time) {
	for {
		var earliest string
		for name, source := range l.sources {
			expired := !source.expires.IsZero() && !source.expires.After(now) && len(source.vms) > 0
			if expired && (earliest == "" || source.expires.Before(l.sources[earliest].expires)) {
				earliest = name
			}
		}
		if earliest == "" {
			return
		}
		expires := l.sources[earliest].expires
		l.sources[earliest] = vmSource{expires: expires}
		l.recordSnapshot(expires)
	}
}

// recordSnapshot appends the current state, which changed at now, to the history. The caller holds l.mu.
func (l *VMList) recordSnapshot(now time.Time) {
	l.history = append(l.history, vmSnapshot{at: now, vms: l.currentVMs()})
	for len(l.history) > 1 && l.history[1].at.Before(now.Add(-maxLag)) {
		l.history = l.history[1:]
	}
}

func (l *VMList) currentVMs() []infra.VM {
	var vms []infra.VM
	for _, source := range l.sources {
		vms = append(vms, source.vms...)
	}
	slices.SortFunc(vms, func(a, b infra.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
