package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A task whose start had an unknown outcome waited up to 3.5 s for a poll that had lost its response, although the stop of its run was confirmed
// (LOST on kioscos-reserva with applied_late).
func TestPollIsGivenUpForAStoppedRunWhileResponsesAreLost(t *testing.T) {
	s := newStuckCell(t)
	r := s.startOn(runStartUnknown)
	given := false
	s.rs.cancelPoll, s.rs.pollSentAt = func() { given = true }, s.now
	later := s.now.Add(minPollTime)
	r.stop.confirmedAt = s.now
	s.abandonOverduePoll(later, s.rs)
	assert.Assert(t, !given, "no responses are being lost")
	s.losingUntil = later.Add(time.Second)
	s.abandonOverduePoll(later, s.rs)
	assert.Assert(t, given)
}
