package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// countedNode is a node whose copies of the tables are fed by the test.
type countedNode struct {
	*Node
	counter layoutCounter
	version int64
}

// read feeds a read that shows a number of runners and of nodes.
func (n *countedNode) read(t *testing.T, runners, nodes int) {
	t.Helper()
	n.version++
	n.mu.Lock()
	for i := range runners {
		id := fmt.Sprintf("i-%d", i)
		n.runnerInfos[id] = runner.Info{ID: id}
	}
	n.mu.Unlock()
	n.discovery.Apply(store.Page{Version: n.version})
	n.assignments.Apply(store.Page{Version: n.version})
	rows := make([]store.Row, nodes)
	for i := range rows {
		name := fmt.Sprintf("n%d", i)
		value, err := json.Marshal(ownership.Heartbeat{Node: name, Addr: name, Incarnation: name})
		assert.NilError(t, err)
		rows[i] = store.Row{Key: ownership.HeartbeatKey(name), Value: value, Version: n.version}
	}
	n.directory.Update(time.Now(), rows)
}

// The number of cells was set to 2 for 3,000 runners: an early read had shown 236 of them, later reads failed, and no heartbeat had been read.
// It must follow from reads that go on, and from all runners if their number still grows.
func TestRunnersAreCountedByReadsThatSucceed(t *testing.T) {
	const step = 300 * time.Millisecond
	for name, c := range map[string]struct {
		// read returns what a read shows at a time, and whether there is one.
		read func(at time.Duration) (runners, nodes int, ok bool)
		want int
		by   time.Duration
	}{
		"all at once":          {func(time.Duration) (int, int, bool) { return 66, 9, true }, 66, 2500 * time.Millisecond},
		"the reads fail later": {func(at time.Duration) (int, int, bool) { return 236, 296, at == 0 }, 0, time.Minute},
		"no heartbeat is read": {func(time.Duration) (int, int, bool) { return 236, 0, true }, 0, time.Minute},
		"the number grows": {func(at time.Duration) (int, int, bool) {
			return min(1+int(at.Seconds()*1000), 3000), 296, true
		}, 3000, 6 * time.Second},
		"single ones appear all the time": {func(at time.Duration) (int, int, bool) { return 100 + int(at/step), 9, true }, 109, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node, _ := testNode(t, 0)
				n := &countedNode{Node: node, counter: layoutCounter{node: node}}
				counted, at := 0, time.Duration(0)
				for ; at <= c.by && counted == 0; at += step {
					if runners, nodes, ok := c.read(at); ok {
						n.read(t, runners, nodes)
					}
					if n.counter.isComplete(time.Now()) {
						counted = n.counter.runners
					}
					time.Sleep(step)
				}
				assert.Equal(t, counted, c.want, "after %v", at)
			})
		})
	}
}

// One node counts; another one replaces it if it has set no number within electorTimeout.
func TestOneNodeDeterminesTheNumberOfCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := emulator.NewStore()
		var elections []*election
		for range 3 {
			n, _ := testNode(t, 0)
			n.store = rows
			elections = append(elections, &election{node: n})
		}
		electors := func() (count int) {
			for _, e := range elections {
				if e.take(t.Context()) {
					count++
				}
			}
			return count
		}
		assert.Equal(t, electors(), 1)
		assert.Assert(t, elections[0].take(t.Context()))
		elections = elections[1:] // the first one is lost
		for range 20 {
			assert.Equal(t, electors(), 0)
			time.Sleep(layoutInterval)
		}
		time.Sleep(electorTimeout)
		assert.Equal(t, electors(), 1)
	})
}
