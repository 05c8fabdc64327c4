package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// sourceExpiry is how long the VMs of a source stay in the list after its last registration. Sources register each
// registerInterval, so it covers several lost ones.
const sourceExpiry = 5 * time.Second

// VMList is a list of VMs that shows the truth of some time ago.
type VMList struct {
	mu      sync.Mutex // owned by the methods below
	lag     time.Duration
	sources map[string]vmSource
	history []vmSnapshot // by time; the first one is the newest that is visible at the largest lag
}

type vmSource struct {
	vms     []infra.VM
	expires time.Time // zero means never
}

type vmSnapshot struct {
	at  time.Time
	vms []infra.VM
}

// maxLag bounds the history that is kept.
const maxLag = 10 * time.Minute

// NewVMList returns a list of VMs that never leave it.
func NewVMList(lag time.Duration, fixed []infra.VM) *VMList {
	l := &VMList{lag: lag, sources: map[string]vmSource{"": {vms: fixed}}}
	l.history = []vmSnapshot{{vms: l.merge()}}
	return l
}

// SetLag changes how old the shown truth is, up to ten minutes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = min(lag, maxLag)
}

// Lag returns how old the shown truth is.
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
	l.expire(now)
	changed := !slices.Equal(l.sources[source].vms, vms)
	l.sources[source] = vmSource{vms: slices.Clone(vms), expires: now.Add(sourceExpiry)}
	if changed {
		l.record(now)
	}
}

// List implements infra.VMList.
func (l *VMList) List(context.Context) ([]infra.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	visible := l.history[0]
	for _, snapshot := range l.history[1:] {
		if snapshot.at.After(now.Add(-l.lag)) {
			break
		}
		visible = snapshot
	}
	return slices.Clone(visible.vms), nil
}

// expire drops sources that did not register in time, as of the time at which they expired. The caller holds l.mu.
func (l *VMList) expire(now time.Time) {
	for {
		var first string
		for name, source := range l.sources {
			expired := !source.expires.IsZero() && !source.expires.After(now) && len(source.vms) > 0
			if expired && (first == "" || source.expires.Before(l.sources[first].expires)) {
				first = name
			}
		}
		if first == "" {
			return
		}
		expires := l.sources[first].expires
		l.sources[first] = vmSource{expires: expires}
		l.record(expires)
	}
}

// record appends the truth, which has changed at the time now, to the history. The caller holds l.mu.
func (l *VMList) record(now time.Time) {
	l.history = append(l.history, vmSnapshot{at: now, vms: l.merge()})
	for len(l.history) > 1 && l.history[1].at.Before(now.Add(-maxLag)) {
		l.history = l.history[1:]
	}
}

func (l *VMList) merge() []infra.VM {
	var vms []infra.VM
	for _, source := range l.sources {
		vms = append(vms, source.vms...)
	}
	slices.SortFunc(vms, func(a, b infra.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
