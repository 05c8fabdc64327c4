package ctl

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A trace contains the lines about a request from all nodes, and the lines from around that time about the runners and
// cells that it involved.
func TestTraceJoinsNodesRunnersAndCells(t *testing.T) {
	lines := readLog(strings.NewReader(`
not JSON
{"time":"2026-01-01T10:00:03Z","vm":"b","msg":"run ended early","request":"aa","task":"aa.0.0.1","runner":"r1","why":"lapsed"}
{"time":"2026-01-01T10:00:01Z","vm":"a","msg":"job accepted","request":"aa","cell":"c0"}
 12.5 edge-1 {"time":"2026-01-01T10:00:02Z","vm":"b","msg":"runner does not answer","runner":"r1"}
{"time":"2026-01-01T10:00:02Z","vm":"b","msg":"runner does not answer","runner":"r2"}
{"time":"2026-01-01T10:00:02.5Z","vm":"b","msg":"acquired the cell","cell":"c0"}
{"time":"2026-01-01T11:00:00Z","vm":"b","msg":"acquired the cell","cell":"c0"}
{"time":"2026-01-01T10:00:02Z","vm":"b","msg":"job accepted","request":"bb","cell":"c0"}
{"time":"2026-01-01T10:00:02.7Z","vm":"b","msg":"start has no answer","task":"aa.0.0.1"}
`))
	var out bytes.Buffer
	for _, l := range traceLines(lines, "aa") {
		assert.NilError(t, l.print(&out))
	}
	assert.Equal(t, out.String(), `10:00:01.000 a job accepted: cell=c0 request=aa
10:00:02.000 b runner does not answer: runner=r1
10:00:02.500 b acquired the cell: cell=c0
10:00:02.700 b start has no answer: task=aa.0.0.1
10:00:03.000 b run ended early: request=aa runner=r1 task=aa.0.0.1 why=lapsed
`)
}

// A trace must say why the tasks of a request wait, and show what happened to the runners that they wait for.
func TestTraceShowsWhyTasksWait(t *testing.T) {
	lines := readLog(strings.NewReader(`
{"time":"2026-01-01T10:00:01Z","vm":"a","msg":"job accepted","request":"aa","cell":"c0"}
{"time":"2026-01-01T10:00:04Z","vm":"b","level":"info","msg":"tasks wait","request":"aa","task":"aa.0.1.6","cell":"c0","why":"no_runner","tasks":4,"waited_ms":2799,"excluded":"headroom=47 idle_cpu=17 capacity=2","capacity_cpu":4928000}
{"time":"2026-01-01T10:00:05Z","vm":"b","level":"info","msg":"tasks wait","request":"bb","task":"bb.0.1.6","cell":"c0","why":"no_runner"}
{"time":"2026-01-01T10:00:06Z","vm":"b","level":"warning","msg":"poll of a runner failed","runner":"r1"}
{"time":"2026-01-01T10:00:07Z","vm":"b","level":"warning","msg":"tasks wait","request":"aa","task":"aa.0.1.7","cell":"c0","why":"runners_unresolved","unresolved":2,"unresolved_runners":"r0 r1","left_ms":16330}
{"time":"2026-01-01T10:00:08Z","vm":"b","level":"info","msg":"lines about waiting tasks were left out","cell":"c0","steps":3,"tasks":9}
`))
	var out bytes.Buffer
	for _, l := range traceLines(lines, "aa") {
		assert.NilError(t, l.print(&out))
	}
	assert.Equal(t, out.String(), `10:00:01.000 a job accepted: cell=c0 request=aa
10:00:04.000 b tasks wait: capacity_cpu=4928000 cell=c0 excluded=headroom=47 idle_cpu=17 capacity=2 request=aa task=aa.0.1.6 tasks=4 waited_ms=2799 why=no_runner
10:00:06.000 b poll of a runner failed: runner=r1
10:00:07.000 b tasks wait: cell=c0 left_ms=16330 request=aa task=aa.0.1.7 unresolved=2 unresolved_runners=r0 r1 why=runners_unresolved
10:00:08.000 b lines about waiting tasks were left out: cell=c0 steps=3 tasks=9
`)
}
