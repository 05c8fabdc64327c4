package standin

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// ObjectsFaults are the fault switches of Objects. The zero value is a healthy store.
type ObjectsFaults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
}

// errOtherData is returned for a write of an existing key with different data.
var errOtherData = errors.New("object exists with other data")

// Objects is an in-memory object store whose objects are immutable.
type Objects struct {
	mu     sync.Mutex
	data   map[string][]byte
	faults ObjectsFaults
}

// NewObjects returns an empty, healthy store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// SetFaults replaces the fault switches.
func (o *Objects) SetFaults(f ObjectsFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// beginCall applies the faults that act before a call.
func (o *Objects) beginCall() error {
	o.mu.Lock()
	faults := o.faults
	o.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
		return &infra.UnavailableError{Err: errDown}
	}
	return nil
}

// Put implements infra.Objects.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	if err := o.beginCall(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, found := o.data[key]; found && !bytes.Equal(old, data) {
		return errOtherData
	}
	o.data[key] = slices.Clone(data)
	return nil
}

// Get implements infra.Objects.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	if err := o.beginCall(); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, infra.ErrNotFound
	}
	return slices.Clone(data), nil
}

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data)
}

func isUnavailable(err error) bool {
	var target *infra.UnavailableError
	return errors.As(err, &target)
}
