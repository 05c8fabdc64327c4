package dispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Starts without a response that were sent to a runner together doubled its back-off one by one, so that a single disturbance excluded it
// for 8 s beside tasks that waited (LOST on kioscos-reserva with applied_late).
func TestStartsThatFailTogetherCountOnceForTheBackoff(t *testing.T) {
	s := newStuckCell(t)
	s.rs.synced, s.lost = false, true // neither polls nor stops are sent
	for range 5 {
		s.startUnknown(t.Context(), s.now, s.startOn(runStarting), errors.New("no response"))
	}
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, s.now.Add(refusalBackoff))
	later := s.rs.backoffUntil
	s.startUnknown(t.Context(), later, s.startOn(runStarting), errors.New("no response"))
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, later.Add(2*refusalBackoff))
	// While several runners lose responses, the runner is not the cause.
	s.losingUntil = later.Add(time.Minute)
	later = s.rs.backoffUntil
	s.startUnknown(t.Context(), later, s.startOn(runStarting), errors.New("no response"))
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, later.Add(shortBackoff))
}
