package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/innerproto"
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
	n.cellCount.Store(cells)
	n.catalog.Store(&catalog.Config{Version: 1, Services: map[string]catalog.Service{"kioscos": {Name: "kioscos"}}})
	return n, &log
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
	assert.Equal(t, chosen[0].runner, "i-1")
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
