package node

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/intake"
	"github.com/currantthread/currantthread/workload"
)

// A job whose best-effort work one cell can't do is offered to the others, and refused only if none takes it. Forcing a full cell must not accept it,
// an unknown outcome must never become a refusal, and clients must return only once the work that waits leaves time.
func TestSubmissionBeyondBestEffortWork(t *testing.T) {
	const accepted, full, backlog, unknown = dispatch.OutcomeAccepted, dispatch.OutcomeFull, dispatch.OutcomeBacklog, dispatch.OutcomeUnknown
	const wait = 20 * time.Second
	for name, c := range map[string]struct {
		outcomes []dispatch.Outcome
		want     intake.Outcome
	}{
		"no cell has time":               {[]dispatch.Outcome{backlog, backlog, backlog}, intake.Refused},
		"the last one has time":          {[]dispatch.Outcome{backlog, backlog, accepted}, intake.Accepted},
		"the last one is full":           {[]dispatch.Outcome{backlog, backlog, full, backlog}, intake.Refused},
		"the first one has time by then": {[]dispatch.Outcome{backlog, full, full, accepted}, intake.Accepted},
		"another outcome is unknown":     {[]dispatch.Outcome{backlog, unknown}, intake.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			n, owner, registry := newScriptedNode(t, c.outcomes, func(load *dispatch.Load) { load.BestEffortWaitMs = wait.Milliseconds() })
			job := &workload.Job{ID: "00000000000000aa", Organisation: "a", Occurrences: 1, AcceptedAt: time.Now(),
				Steps: []workload.Step{{Count: 1, BestEffort: true, Resources: workload.Resources{CPU: 4000}, Estimated: time.Second}}}
			decision := n.Submit(t.Context(), job)
			assert.Equal(t, decision.Outcome, c.want, decision.Reason)
			assert.Equal(t, owner.calls, len(c.outcomes))
			wanted := ""
			if c.want == intake.Refused {
				assert.Assert(t, decision.RetryAfter >= wait && decision.RetryAfter <= 2*wait, "%v", decision.RetryAfter)
				wanted = `# HELP currantthread_organisation_refused_total Jobs refused at submission, by organisation and reason.
# TYPE currantthread_organisation_refused_total counter
currantthread_organisation_refused_total{organisation="a",reason="backlog"} 1
`
			}
			assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(wanted), "currantthread_organisation_refused_total"))
		})
	}
}

// A cell that has refused nothing lately must not set the time after which clients return to those that have.
func TestRetryAfterOfCellsThatRefusedForBacklog(t *testing.T) {
	const wait = 20 * time.Second
	n, _, _ := newScriptedNode(t, []dispatch.Outcome{dispatch.OutcomeBacklog, dispatch.OutcomeNotOwner, dispatch.OutcomeBacklog}, func(load *dispatch.Load) {
		if load.Cell != "c1" {
			load.BestEffortWaitMs = wait.Milliseconds()
		}
	})
	decision := n.Submit(t.Context(), &workload.Job{ID: "00000000000000aa", Organisation: "a", Occurrences: 1, AcceptedAt: time.Now(),
		Steps: []workload.Step{{Count: 1, BestEffort: true, Resources: workload.Resources{CPU: 4000}, Estimated: time.Second}}})
	assert.Equal(t, decision.Outcome, intake.Refused)
	assert.Assert(t, decision.RetryAfter >= wait, "%v", decision.RetryAfter)
}

// A cell that only lacks free capacity is made to take the job if no other one does, whichever order the cells are asked in.
func TestFullCellTakesJobThatOthersRefuseForBacklog(t *testing.T) {
	const accepted, full, backlog = dispatch.OutcomeAccepted, dispatch.OutcomeFull, dispatch.OutcomeBacklog
	for name, outcomes := range map[string][]dispatch.Outcome{
		"the full one is asked first": {full, backlog, backlog, accepted},
		"in between":                  {backlog, full, backlog, accepted},
		"last":                        {backlog, backlog, full, accepted},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _ := newScriptedNode(t, outcomes, func(*dispatch.Load) {})
			decision := n.Submit(t.Context(), mixedJob())
			assert.Equal(t, decision.Outcome, intake.Accepted, decision.Reason)
		})
	}
}

// mixedJob returns a job that commits capacity in its first step, and whose second step is best-effort.
func mixedJob() *workload.Job {
	return &workload.Job{ID: "00000000000000aa", Organisation: "a", Occurrences: 1, AcceptedAt: time.Now(),
		Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 4000}, Estimated: time.Second},
			{Count: 1, BestEffort: true, Resources: workload.Resources{CPU: 4000}, Estimated: time.Second, After: []int{0}}}}
}
