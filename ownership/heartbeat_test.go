package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// beating is a node that writes its row and reads the others'.
type beating struct {
	name      string
	directory *Directory
	refused   int
}

func (b *beating) run(ctx context.Context, s store.Store) {
	reader := NewReader(s)
	value, _ := json.Marshal(strong(b.name))
	written := int64(0)
	for ctx.Err() == nil {
		started := time.Now()
		version, err := s.Commit(ctx, store.Txn{Writes: []store.Write{{Key: BeatKey(b.name), Value: value}}})
		if errors.Is(err, store.ErrUnavailable) {
			b.refused++
		}
		if err == nil {
			written = version
		}
		if rows, err := reader.Read(ctx, written); err == nil {
			b.directory.Update(time.Now(), rows)
		}
		time.Sleep(max(BeatInterval-time.Since(started), BeatInterval/4))
	}
}

// Answers the pattern "a store that answers 90 times slower than usual": with all rows in one partition the store refused
// the heartbeats of 37 nodes, and no hand-in found an owner (kioscos-reserva-grown trouble-2, 0.36 in its worst seconds).
func TestHeartbeatsPassASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		s.SetTxnTime(270 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var nodes []*beating
		var all sync.WaitGroup
		for i := range 40 {
			b := &beating{name: fmt.Sprintf("node-%d", i)}
			b.directory = NewDirectory(b.name)
			nodes = append(nodes, b)
			all.Go(func() { b.run(ctx, s) })
		}
		for range 10 {
			time.Sleep(2 * time.Second)
			for _, b := range nodes {
				assert.Equal(t, b.directory.Living(time.Now()), len(nodes))
			}
		}
		for _, b := range nodes {
			assert.Equal(t, b.refused, 0, b.name)
		}
		cancel()
		all.Wait()
	})
}

// Guards against a reader that loses rows when the store drops its history, or repeats the whole table each time.
func TestReaderFollowsTheTable(t *testing.T) {
	s := emulator.NewStore()
	write := func(node string) int64 {
		version, err := s.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: BeatKey(node), Value: []byte("{}")}}})
		assert.NilError(t, err)
		return version
	}
	write("a")
	written := write("b")
	r := NewReader(s)
	for _, want := range []int{2, 0} {
		rows, err := r.Read(t.Context(), written)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), want)
	}
	written = write("c")
	rows, err := r.Read(t.Context(), written)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	written = write("d")
	s.DropHistory()
	rows, err = r.Read(t.Context(), written)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 4)
	_, err = r.Read(t.Context(), written+1)
	assert.ErrorIs(t, err, ErrStaleRead)
}

// Guards against a node that refuses all jobs because it can't read the store, while the owners are at work.
func TestViewIsKeptWhileTheStoreCannotBeRead(t *testing.T) {
	d := NewDirectory("b")
	d.Update(start, []store.Row{row(t, 1, strong("a", "c0"))})
	assert.Equal(t, d.Owners(start.Add(5 * time.Second))["c0"].Node, "a")
	assert.Assert(t, !d.Fresh(start.Add(5*time.Second)))
	assert.Equal(t, len(d.Owners(start.Add(keepView))), 0)
}
