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
	failStart := func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startUnknown(t.Context(), now, s.startOn(runStarting), errors.New("no response"))
	}
	for range 5 {
		failStart(s.now)
	}
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, s.now.Add(refusalBackoff))
	later := s.rs.backoffUntil
	failStart(later)
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, later.Add(2*refusalBackoff))
	// While several runners lose responses, the runner is not the cause.
	s.losingUntil = later.Add(time.Minute)
	later = s.rs.backoffUntil
	failStart(later)
	s.background.Wait()
	assert.Equal(t, s.rs.backoffUntil, later.Add(shortBackoff))
}
