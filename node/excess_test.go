package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/innerproto/innerprotoconnect"
	"github.com/currantthread/currantthread/intake"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// scriptedOwner answers submissions with the given outcomes, one after another.
type scriptedOwner struct {
	innerprotoconnect.UnimplementedJobServiceHandler
	outcomes []dispatch.Outcome
	calls    int
}

// Submit implements innerprotoconnect.JobServiceHandler.
func (o *scriptedOwner) Submit(context.Context, *innerproto.SubmitRequest) (*innerproto.SubmitResponse, error) {
	o.calls++
	return &innerproto.SubmitResponse{Outcome: uint32(o.outcomes[o.calls-1])}, nil
}

// newScriptedNode returns a node that sees three cells of one peer, which answers submissions with the given outcomes. change is applied to the load
// of each cell.
func newScriptedNode(t *testing.T, outcomes []dispatch.Outcome, change func(load *dispatch.Load)) (*Node, *scriptedOwner, *prometheus.Registry) {
	t.Helper()
	owner := &scriptedOwner{outcomes: outcomes}
	mux := http.NewServeMux()
	mux.Handle(innerprotoconnect.NewJobServiceHandler(owner))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	registry := prometheus.NewRegistry()
	n := &Node{store: emulator.NewStore(), settings: &platform.Settings{CrossPartition: true}, jobCells: map[string]string{}, peers: newPeers(),
		directory: ownership.NewDirectory("self"), submittedWork: map[string]submittedWork{}, metrics: dispatch.NewMetrics(registry),
		log: observe.NewLogger(t.Output(), "test", "self")}
	n.cellCount.Store(3)
	var config catalog.Config
	assert.NilError(t, config.AddOrganisation(catalog.Organisation{Name: "a", Weight: 1}, nil))
	n.catalog.Store(&config)
	heartbeat := ownership.Heartbeat{Node: "peer", Addr: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"}
	for _, cell := range []string{"c0", "c1", "c2"} {
		load := ownerWith(cell, 0).Load
		load.Epoch = 1
		change(&load)
		heartbeat.Cells = append(heartbeat.Cells, load)
	}
	row, err := json.Marshal(heartbeat)
	assert.NilError(t, err)
	problems := n.directory.Update(time.Now(), []store.Row{{Key: ownership.HeartbeatKey("peer"), Value: row, Version: 1}})
	assert.Equal(t, len(problems), 0, "%v", problems)
	return n, owner, registry
}

// A job is refused for its organisation's share only if the cell that would have to take it says so and no other one reports free capacity. An
// unknown outcome must never become a refusal.
func TestSubmissionInExcess(t *testing.T) {
	const accepted, full, excess, unknown = dispatch.OutcomeAccepted, dispatch.OutcomeFull, dispatch.OutcomeExcess, dispatch.OutcomeUnknown
	cases := map[string]struct {
		free     int64
		outcomes []dispatch.Outcome
		want     intake.Outcome
	}{
		"all cells are full":             {0, []dispatch.Outcome{excess}, intake.Refused},
		"another one has free capacity":  {90_000, []dispatch.Outcome{excess, accepted}, intake.Accepted},
		"others have filled up since":    {90_000, []dispatch.Outcome{excess, full, excess}, intake.Refused},
		"the first has no excess":        {0, []dispatch.Outcome{full, excess, full, accepted}, intake.Accepted},
		"the first has excess meanwhile": {0, []dispatch.Outcome{full, full, full, excess}, intake.Refused},
		"another outcome is unknown":     {90_000, []dispatch.Outcome{excess, unknown}, intake.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n, owner, registry := newScriptedNode(t, c.outcomes, func(load *dispatch.Load) { load.Free = c.free })
			job := &workload.Job{ID: "00000000000000aa", Organisation: "a", Occurrences: 1, AcceptedAt: time.Now(),
				Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 4000}, Estimated: time.Second}}}
			decision := n.Submit(t.Context(), job)
			assert.Equal(t, decision.Outcome, c.want, decision.Reason)
			assert.Equal(t, owner.calls, len(c.outcomes))
			if c.want == intake.Refused {
				assert.Assert(t, decision.RetryAfter >= time.Second)
			}
			wanted := ""
			if c.want == intake.Refused {
				wanted = `# HELP currantthread_organisation_refused_total Jobs refused at submission, by organisation and reason.
# TYPE currantthread_organisation_refused_total counter
currantthread_organisation_refused_total{organisation="a",reason="share"} 1
`
			}
			assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(wanted), "currantthread_organisation_refused_total"))
		})
	}
}
