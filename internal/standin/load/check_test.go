package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/verdict"
)

func answered(status int, v verdict.Verdict) Send {
	return Send{Outcome: Answered, Status: status, Verdict: v, HasVerdict: true}
}

func numbered(number string) Send {
	s := answered(201, verdict.Ran)
	s.Number = number
	return s
}

// Check must find every violated guarantee, and none where the callers' responses were correct.
func TestCheck(t *testing.T) {
	refused := answered(503, verdict.NotRun)
	wrong := answered(200, verdict.Ran)
	wrong.Wrong = "differs"
	cases := map[string]struct {
		idempotent bool
		sends      []Send
		runs       int64
		broken     string
	}{
		"answered":                           {false, []Send{numbered("1")}, 1, ""},
		"idempotent ran twice":               {true, []Send{answered(200, verdict.Ran)}, 2, ""},
		"ran twice":                          {false, []Send{numbered("1")}, 2, "G7"},
		"ran twice without a response":       {false, []Send{{Outcome: NoResponse}}, 2, "G7"},
		"no response, ran":                   {false, []Send{{Outcome: NoResponse}}, 1, ""},
		"may have run, ran":                  {false, []Send{answered(502, verdict.MayHaveRun)}, 1, ""},
		"may have run, did not":              {false, []Send{answered(502, verdict.MayHaveRun)}, 0, ""},
		"true refusal":                       {false, []Send{refused}, 0, ""},
		"false refusal":                      {false, []Send{refused}, 1, "G6"},
		"false refusal, idempotent":          {true, []Send{refused}, 1, "G6"},
		"repeat refused after a run":         {false, []Send{numbered("1"), refused}, 1, ""},
		"repeat refused after no response":   {false, []Send{{Outcome: NoResponse}, refused}, 1, ""},
		"both refused, ran":                  {false, []Send{refused, refused}, 1, "G6"},
		"not sent, ran":                      {false, []Send{{Outcome: NotSent}}, 1, "G6"},
		"same response to a repeat":          {false, []Send{numbered("1"), numbered("1")}, 1, ""},
		"different response to the same key": {false, []Send{numbered("1"), numbered("2")}, 1, "G7"},
		"answered and never ran":             {false, []Send{numbered("1")}, 0, "G5"},
		"wrong response":                     {true, []Send{wrong}, 1, "G5"},
		"no verdict":                         {false, []Send{{Outcome: Answered, Status: 500}}, 0, "verdict"},
		"idempotent, cut":                    {true, []Send{{Outcome: NoResponse}, {Outcome: NoResponse}}, 1, unansweredIdempotent},
		"idempotent, may have run":           {true, []Send{answered(502, verdict.MayHaveRun)}, 1, unansweredIdempotent},
		"idempotent, repeated after cut":     {true, []Send{{Outcome: NoResponse}, answered(200, verdict.Ran)}, 2, ""},
		"idempotent, upstream's error":       {true, []Send{answered(500, verdict.Ran)}, 1, ""},
	}
	for name, c := range cases {
		report := Check([]Operation{{Token: "t", Idempotent: c.idempotent, Sends: c.sends}}, []int64{c.runs})
		broken := ""
		for _, v := range report.Violations {
			broken += v.Guarantee
		}
		assert.Equal(t, broken, c.broken, name)
	}
}

// All violations must be counted, even those above the number that is listed.
func TestCheckCountsAllViolations(t *testing.T) {
	operations := make([]Operation, 20)
	runs := make([]int64, 20)
	for i := range runs {
		operations[i].Sends = []Send{{Outcome: NoResponse}}
		runs[i] = 2
	}
	report := Check(operations, runs)
	assert.Equal(t, report.RanTwice, 20)
	assert.Equal(t, len(report.Violations), maxListed)
}

// The check of tasks must find a task that ran in two places, was started twice or completed twice.
func TestTaskReport(t *testing.T) {
	attempt := func(n int, class job.Class, start, end int64) standin.Run {
		return standin.Run{
			Ref: infra.AttemptRef{Task: "j/0", Attempt: n}, Class: class, StartNanos: start, EndNanos: end,
			End: infra.RunStopped,
		}
	}
	completed := attempt(1, job.ClassBatch, 1, 2)
	completed.End = infra.RunCompleted
	again := attempt(2, job.ClassBatch, 3, 4)
	again.End = infra.RunCompleted
	cases := map[string]struct {
		runs   []standin.Run
		broken string
	}{
		"one after the other": {[]standin.Run{attempt(2, job.ClassBatch, 5, 9), attempt(1, job.ClassBatch, 1, 5)}, ""},
		"overlap":             {[]standin.Run{attempt(1, job.ClassBatch, 1, 6), attempt(2, job.ClassBatch, 5, 9)}, "G2"},
		"first never ended":   {[]standin.Run{attempt(1, job.ClassStanding, 1, 0), attempt(2, job.ClassStanding, 5, 9)}, "G2"},
		"attempt started twice": {
			[]standin.Run{attempt(1, job.ClassBatch, 1, 2), attempt(1, job.ClassBatch, 5, 9)}, "G2",
		},
		"replicas overlap": {[]standin.Run{attempt(1, job.ClassService, 1, 6), attempt(2, job.ClassService, 5, 9)}, ""},
		"completed twice":  {[]standin.Run{completed, again}, "G3"},
	}
	for name, c := range cases {
		var report TaskReport
		report.check(nil, c.runs)
		broken := ""
		for _, v := range report.Violations {
			broken += v.Guarantee
		}
		assert.Equal(t, broken, c.broken, name)
	}
	var report TaskReport
	report.check([]standin.FleetCounts{{Workers: standin.WorkerCounts{OverCapacity: 1}}}, nil)
	assert.Equal(t, report.Violations[0].Guarantee, "G1")
}
