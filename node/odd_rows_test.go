package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// testNode returns a node that does not run, with the given number of cells, and its log.
func testNode(t *testing.T, cells int32) (*Node, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	n := newNode(&platform.Settings{Node: "n0", IP: "127.0.0.1", InnerPorts: [2]int{7720, 7735}, StoreAddr: "127.0.0.1:9000",
		CrossPartition: true}, &log)
	n.peers.http = &http.Client{Transport: unreachablePeers{}}
	n.cellCount.Store(cells)
	n.catalog.Store(&catalog.Config{Version: 1, Services: map[string]catalog.Service{"kioscos": {Name: "kioscos"}}})
	return n, &log
}

// unreachablePeers reaches no node. In a bubble of synctest the network can't be used.
type unreachablePeers struct{}

// RoundTrip implements http.RoundTripper.
func (unreachablePeers) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("no other node can be reached")
}

// metric returns the value of a gauge as it is served.
func metric(t *testing.T, n *Node, name string) float64 {
	t.Helper()
	families, err := n.registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("metric %s is not served", name)
	return 0
}

func serverRow(t *testing.T, version int64, info runner.Info) store.Row {
	t.Helper()
	value, err := platform.EncodeRunner(info)
	assert.NilError(t, err)
	return store.Row{Key: store.Key{Table: platform.TableServers, Name: info.ID}, Value: value, Version: version}
}

func testRunner(id string) runner.Info {
	return runner.Info{ID: id, Service: "kioscos", Addr: "127.0.0.1:9001", Domain: "chipre", Born: 1,
		Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}, Labels: []string{"a", "r1"}}
}

// A row of a known runner that turns bad is treated as a missing one, so that the runner gets no new tasks; a later usable
// row brings it back. The old row stayed in force, and the runner got tasks at an address that its own row no longer named.
func TestRowThatTurnsBadNamesNoRunner(t *testing.T) {
	n, _ := testNode(t, 1)
	info := testRunner("i-1")
	n.discoveryChanged([]store.Row{serverRow(t, 1, info), serverRow(t, 2, testRunner("i-2"))})
	assert.Equal(t, len(n.runnerInfos), 2)
	bad := serverRow(t, 3, info)
	bad.Value = bytes.Replace(bad.Value, []byte(":9001"), []byte(":99999"), 1)
	n.discoveryChanged([]store.Row{bad})
	_, ok := n.runnerInfos["i-1"]
	assert.Assert(t, !ok)
	_, ok = n.runnerInfos["i-2"]
	assert.Assert(t, ok, "the row of another runner holds")
	assert.Equal(t, metric(t, n, "currantthread_discovery_unusable_rows"), 1.0)
	n.discoveryChanged([]store.Row{serverRow(t, 4, info)})
	_, ok = n.runnerInfos["i-1"]
	assert.Assert(t, ok)
	assert.Equal(t, metric(t, n, "currantthread_discovery_unusable_rows"), 0.0)
}

// Another writer that rewrites its odd rows every second must not fill the log.
func TestUnusableRowsAreLoggedOnce(t *testing.T) {
	n, log := testNode(t, 1)
	version := int64(0)
	for range 20 {
		var rows []store.Row
		for i := range 30 {
			version++
			rows = append(rows, store.Row{Key: store.Key{Table: platform.TableServers, Name: fmt.Sprintf("odd-%d", i)},
				Value: []byte(strings.Repeat("[", 20_000)), Version: version})
		}
		n.discoveryChanged(rows)
	}
	lines := strings.Count(log.String(), "service discovery row")
	assert.Assert(t, lines > 0 && lines <= maxUnusableLogged+1, "%d lines", lines)
	assert.Equal(t, metric(t, n, "currantthread_discovery_unusable_rows"), 30.0)
	assert.Assert(t, log.Len() < 4000, "%d bytes", log.Len())
}

// A runner of a service that no configuration names, or whose ID is the name of another row of the roster, gets no cell. A
// runner in a cell is polled for as long as its row exists, and a new owner of the cell waits for it.
func TestRunnersThatAreNotAssigned(t *testing.T) {
	n, _ := testNode(t, 2)
	stranger, layout := testRunner("i-stranger"), testRunner(rowLayout)
	stranger.Service = "other"
	n.discoveryChanged([]store.Row{serverRow(t, 1, testRunner("i-1")), serverRow(t, 2, stranger), serverRow(t, 3, layout)})
	chosen := n.chooseCells()
	assert.Equal(t, len(chosen), 1)
	assert.Equal(t, chosen[0].name, "i-1")
	config := *n.catalog.Load()
	config.Version++
	config.Services = map[string]catalog.Service{"kioscos": {}, "other": {}}
	n.catalog.Store(&config)
	assert.Equal(t, len(n.chooseCells()), 2, "the configuration names the service now")
}

// A job that a peer sends is checked like one that a client sends. A step that follows a step that does not exist ended the
// process of the cell's owner, after the job had been stored.
func TestOddJobOfAPeer(t *testing.T) {
	n, _ := testNode(t, 1)
	for name, job := range map[string]string{
		"not JSON":      `{`,
		"no steps":      `{"id":"5c0e7a21d94b36f8","occ":1}`,
		"unknown step":  `{"id":"5c0e7a21d94b36f8","occ":1,"steps":[{"n":1,"after":[7]}]}`,
		"negative step": `{"id":"5c0e7a21d94b36f8","occ":1,"steps":[{"n":1,"after":[-1]}]}`,
		"negative size": `{"id":"5c0e7a21d94b36f8","occ":1,"steps":[{"n":-1}]}`,
		"no ID":         `{"occ":1,"steps":[{"n":1}]}`,
		"deeply nested": strings.Repeat(`{"steps":[`, 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := (&jobService{node: n}).Submit(t.Context(), &innerproto.SubmitRequest{Cell: "c0", Job: []byte(job)})
			assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
		})
	}
	_, err := (&jobService{node: n}).Submit(t.Context(), &innerproto.SubmitRequest{Cell: "c0",
		Job: []byte(`{"id":"5c0e7a21d94b36f8","occ":1,"steps":[{"n":1}]}`)})
	assert.NilError(t, err)
}

func rosterRow(version int64, name, value string) store.Row {
	return store.Row{Key: store.Key{Table: tableAssignments, Name: name}, Value: []byte(value), Version: version}
}

// The number of cells can't become one that no first start has written. A huge number ended each process that read it, by
// memory; any other number moved the index rows of jobs, so that accepted jobs were answered as unknown.
func TestOddNumberOfCells(t *testing.T) {
	for _, value := range []string{"", "0", "-3", "1000000000", "3000000000", "99999999999999999999", "4294967296", "2.0", "two", "\x00\xff",
		strings.Repeat("9", 64<<10), strings.Repeat("[", 20_000)} {
		n, log := testNode(t, 0)
		n.assignmentsChanged([]store.Row{rosterRow(1, rowLayout, value)})
		assert.Equal(t, len(n.cellNames()), 0, "%.20q", value)
		n.assignmentsChanged([]store.Row{rosterRow(2, rowLayout, "3")})
		assert.Equal(t, len(n.cellNames()), 3)
		n.assignmentsChanged([]store.Row{rosterRow(3, rowLayout, value), rosterRow(4, rowLayout, "2")})
		assert.Equal(t, len(n.cellNames()), 3)
		assert.Assert(t, log.Len() < 2000, "%d bytes", log.Len())
	}
}

// A runner stays in the cell that it is in if its row turns into something else. Its row and that of the number of cells are
// written again after another writer deleted them.
func TestOddRosterRows(t *testing.T) {
	n, _ := testNode(t, 2)
	n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", "c1"), rosterRow(1, "i-2", "c0"), rosterRow(1, "i-3", "c7")})
	n.assignmentsChanged([]store.Row{rosterRow(2, "i-1", "c2"), rosterRow(3, "i-2", strings.Repeat("c", 64<<10))})
	assert.Equal(t, n.runnerCells["i-1"], "c1")
	assert.Equal(t, n.runnerCells["i-2"], "c0")
	deleted := []store.Row{rosterRow(4, "i-1", ""), rosterRow(4, "i-3", ""), rosterRow(4, rowLayout, "")}
	for i := range deleted {
		deleted[i].Deleted = true
	}
	n.assignmentsChanged(deleted)
	assert.Equal(t, n.runnerCells["i-1"], "c1")
	assert.Equal(t, len(n.cellNames()), 2)
	written := map[string]string{}
	for _, a := range n.chooseCells() {
		written[a.name] = a.value
	}
	assert.DeepEqual(t, written, map[string]string{"i-1": "c1", rowLayout: "2"})
	n.assignmentsChanged([]store.Row{rosterRow(5, "i-1", "c1"), rosterRow(5, rowLayout, "2")})
	assert.Equal(t, len(n.chooseCells()), 0)
}

// ownFirstCell makes a node with an emulated store the owner of the first cell, and returns a function that releases it.
func ownFirstCell(t *testing.T, n *Node, s *emulator.Store) (release func()) {
	t.Helper()
	n.store = s
	c, err := dispatch.Acquire(t.Context(), n.cellConfig(firstCell, false), dispatch.Ownership{}, 0, nil)
	assert.NilError(t, err)
	n.cells[firstCell] = c
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	return func() {
		cancel()
		<-c.Done()
	}
}

// A row that another writer has put into the roster does not hold back the other runners. The transaction with the rows of all
// new runners was refused for ever, and none of them got a task.
func TestRosterRowOfAnotherWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		n, _ := testNode(t, 1)
		n.runners = emulator.NewFleet(nil)
		release := ownFirstCell(t, n, s)
		defer release()
		s.Put(store.Key{Table: tableAssignments, Name: "i-2"}, []byte("nonsense"))
		n.discoveryChanged([]store.Row{serverRow(t, 1, testRunner("i-1")), serverRow(t, 2, testRunner("i-2")), serverRow(t, 3, testRunner("i-3"))})
		for range 3 {
			n.assign(t.Context())
		}
		assert.Equal(t, n.runnerCells["i-1"], firstCell)
		assert.Equal(t, n.runnerCells["i-3"], firstCell)
		more, retry := n.assign(t.Context())
		assert.Assert(t, !more && !retry, "nothing is left to write")
	})
}

// An index row that names no cell is an error, not a job that does not exist: the job was accepted.
func TestOddIndexRows(t *testing.T) {
	for _, value := range []string{"", "c9", "c-1", "c00", "c+0", "0", "\x00\xff", strings.Repeat("c", 64<<10)} {
		s := emulator.NewStore()
		n, _ := testNode(t, 2)
		n.store = s
		const id = "5c0e7a21d94b36f8"
		s.Put(store.Key{Table: dispatch.TableIndex, Part: n.indexPart(id), Name: id}, []byte(value))
		_, _, err := n.State(t.Context(), id, "")
		assert.Assert(t, err != nil, "%.20q", value)
		assert.Assert(t, len(err.Error()) < 500)
		_, err = n.Cancel(t.Context(), id, "")
		assert.Assert(t, err != nil, "%.20q", value)
	}
}

// A job whose rows can't be decoded was accepted. It has a state, and a cancellation is not answered as if it did not exist.
func TestJobThatCanNotBeDecoded(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	for name, c := range map[string]struct {
		job, progress string
		state         workload.State
	}{
		"job row":      {job: "{", state: workload.StateQueued},
		"both rows":    {job: "\x00", progress: "{"},
		"progress row": {job: `{"id":"5c0e7a21d94b36f8","occ":1,"steps":[{"n":1}]}`, progress: strings.Repeat("[", 20_000)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewStore()
				n, _ := testNode(t, 1)
				s.Put(store.Key{Table: dispatch.TableIndex, Part: n.indexPart(id), Name: id}, []byte(firstCell))
				s.Put(store.Key{Table: dispatch.TableJobs, Part: n.cellPart(firstCell), Name: id}, []byte(c.job))
				if c.progress != "" {
					s.Put(store.Key{Table: dispatch.TableProgress, Part: n.cellPart(firstCell), Name: id}, []byte(c.progress))
				}
				release := ownFirstCell(t, n, s)
				defer release()
				state, found, err := n.State(t.Context(), id, "")
				assert.Equal(t, state, c.state)
				assert.Assert(t, found || err != nil)
				_, err = n.Cancel(t.Context(), id, "")
				assert.Assert(t, err != nil)
			})
		})
	}
}

// A job that the cell has can be cancelled, and one whose rows are removed after its end no longer exists.
func TestCancelOfKnownAndRemovedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		n, _ := testNode(t, 1)
		release := ownFirstCell(t, n, s)
		defer release()
		const id, removed = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
		job := &workload.Job{ID: id, Occurrences: 1, Steps: []workload.Step{{Count: 1}}}
		outcome, _ := n.cells[firstCell].Submit(t.Context(), job, true)
		assert.Equal(t, outcome, dispatch.OutcomeAccepted)
		found, err := n.Cancel(t.Context(), id, "")
		assert.NilError(t, err)
		assert.Assert(t, found)
		s.Put(store.Key{Table: dispatch.TableIndex, Part: n.indexPart(removed), Name: removed}, []byte(firstCell))
		found, err = n.Cancel(t.Context(), removed, "")
		assert.NilError(t, err)
		assert.Assert(t, !found)
	})
}

// Rows of other writers that are rewritten all the time fill neither the log nor the time of the node.
func TestRewrittenOddRowsAreLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := testNode(t, 2)
		evacuation := store.Row{Key: store.Key{Table: platform.TableOperator, Name: platform.PrefixEvacuate + "chipre"}}
		for i := range 600 {
			n.assignmentsChanged([]store.Row{rosterRow(int64(i), "i-odd", "nonsense"), rosterRow(int64(i), rowLayout, "7")})
			n.operatorChanged([]store.Row{evacuation, {Key: store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, Value: []byte("{")}})
			time.Sleep(300 * time.Millisecond)
		}
		// 180 s are three windows.
		for _, message := range []string{"names no cell", "invalid number of cells", "configuration rejected"} {
			lines := strings.Count(log.String(), message)
			assert.Equal(t, lines, 3*rowLogLines, message)
		}
		assert.Assert(t, strings.Contains(log.String(), `"left_out":195`), log.String())
		assert.Equal(t, strings.Count(log.String(), "evacuation"), 1)
	})
}
