package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request to deny an outage that arrives after one of a later owner must not weaken the promise to that owner.
func TestLateDenialDoesNotWeakenAPromise(t *testing.T) {
	now := time.Now()
	w := newOutageWitness(now)
	now = now.Add(outageAfter)
	assert.Assert(t, !w.deny(now, "c0", 9))
	assert.Assert(t, !w.deny(now, "c0", 5))
	assert.Assert(t, !w.confirm(now, "c0", 8))
	assert.Assert(t, w.confirm(now, "c0", 9))
}
