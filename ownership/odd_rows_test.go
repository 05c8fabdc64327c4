package ownership

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/store"
)

// oddHeartbeats are values of the row of a node "odd", at version 9, that are not its heartbeat.
func oddHeartbeats(t testing.TB) map[string][]byte {
	t.Helper()
	change := func(change func(b *Heartbeat, load *dispatch.Load)) []byte {
		heartbeat := strongNode("odd", "c0")
		change(&heartbeat, &heartbeat.Cells[0])
		value, err := json.Marshal(heartbeat)
		assert.NilError(t, err)
		return value
	}
	return map[string][]byte{
		"empty":                 nil,
		"null":                  []byte("null"),
		"not JSON":              []byte("\x00\x01"),
		"deeply nested":         []byte(strings.Repeat(`{"cells":[`, 20_000)),
		"number out of range":   []byte(`{"node":"odd","addr":"a","inc":"i","cpu":1e400}`),
		"null cell":             []byte(`{"node":"odd","addr":"a","inc":"i","cells":[null]}`),
		"cells of another type": []byte(`{"node":"odd","addr":"a","inc":"i","cells":7}`),
		"another node's name":   change(func(b *Heartbeat, _ *dispatch.Load) { b.Node = "good" }),
		"no address":            change(func(b *Heartbeat, _ *dispatch.Load) { b.Addr = "" }),
		"no incarnation":        change(func(b *Heartbeat, _ *dispatch.Load) { b.Incarnation = "" }),
		"negative share":        change(func(b *Heartbeat, _ *dispatch.Load) { b.CPUShare = -1 }),
		"huge link":             change(func(b *Heartbeat, _ *dispatch.Load) { b.LinkMbps = 1e300 }),
		"cell twice":            change(func(b *Heartbeat, load *dispatch.Load) { b.Cells = append(b.Cells, *load) }),
		"largest epoch":         change(func(_ *Heartbeat, load *dispatch.Load) { load.Epoch = 1<<63 - 1 }),
		"negative epoch":        change(func(_ *Heartbeat, load *dispatch.Load) { load.Epoch = -1 }),
		"largest capacity":      change(func(_ *Heartbeat, load *dispatch.Load) { load.Capacity = 1<<63 - 1 }),
		"negative capacity":     change(func(_ *Heartbeat, load *dispatch.Load) { load.Capacity = -1 }),
		"smallest free":         change(func(_ *Heartbeat, load *dispatch.Load) { load.Free = -1 << 63 }),
		"negative excess":       change(func(_ *Heartbeat, load *dispatch.Load) { load.ExcessMs = map[string]int64{"o": -7} }),
		"negative demand": change(func(_ *Heartbeat, load *dispatch.Load) {
			load.Organisations = map[string]quota.Demand{"x": {Waiting: quota.Amounts{0, -1, 0}}}
		}),
		"largest demand": change(func(_ *Heartbeat, load *dispatch.Load) {
			load.Organisations = map[string]quota.Demand{"x": {Used: quota.Amounts{1<<63 - 1}}}
		}),
		"negative pending": change(func(_ *Heartbeat, load *dispatch.Load) { load.Pending = map[string]int{"q": -7} }),
	}
}

// A row that is not a heartbeat of its node names no node: the loads and owners that the other rows give stay as they are, and
// the node is no candidate for cells. The last load of such a row was kept for ever if its epoch was high.
func TestOddHeartbeats(t *testing.T) {
	for name, value := range oddHeartbeats(t) {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("good")
			good := strongNode("good", "c0")
			good.Cells[0].Pending, good.Cells[0].Epoch = map[string]int{"q": 2}, 3
			odd := store.Row{Key: store.Key{Table: TableNodes, Name: "odd"}, Value: value, Version: 9}
			problems := d.Update(start, []store.Row{odd, row(t, 8, good)})
			assert.Equal(t, len(problems), 1)
			assert.Assert(t, len(problems[0].Error()) < 500)
			assert.Equal(t, d.AliveCount(start), 1)
			assert.Equal(t, d.Owners(start)["c0"].Node, "good")
			assert.Equal(t, d.LastLoads()["c0"].Pending["q"], 2)
			assert.Equal(t, d.Rank(start, "c1"), 0)
			// The node's next valid row counts.
			d.Update(start, []store.Row{row(t, 10, strongNode("odd"))})
			assert.Equal(t, d.AliveCount(start), 2)
		})
	}
}

// No row makes the directory panic, and the loads that it keeps can be added up.
func FuzzHeartbeat(f *testing.F) {
	for _, value := range oddHeartbeats(f) {
		f.Add(value)
	}
	value, err := json.Marshal(strongNode("odd", "c0", "c1"))
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		d := NewDirectory("odd")
		now := start
		d.Update(now, []store.Row{{Key: store.Key{Table: TableNodes, Name: "odd"}, Value: value, Version: 9}})
		for cell, load := range d.LastLoads() {
			assert.Assert(t, cell != "" && load.Epoch >= 1 && load.Epoch <= 9 && load.Capacity >= 0 && load.Pending["q"] >= 0)
			load.Add(dispatch.Demand{Committed: maxAmount, WorkMs: maxAmount})
			assert.Assert(t, load.BacklogMs >= 0)
			load.CapacityWait(maxAmount)
		}
		d.Owners(now)
		d.Relay(now)
		d.Rank(now, "c0")
		d.HasEnded(dispatch.Ownership{Node: "odd", Incarnation: "odd", Epoch: 1}, "c0")
		assert.Assert(t, d.AliveCount(now.Add(time.Minute)) == 0)
	})
}
