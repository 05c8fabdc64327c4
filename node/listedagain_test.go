package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A runner that has left and is listed again, as another process, must not be told to a later owner as one that has left: its entry may say
// nothing of the start of the process, and the former owner may have started tasks on it.
func TestRunnerThatIsListedAgainHasNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingSite(t, runnerHeartbeat)
		defer s.close()
		s.acquire(true)
		time.Sleep(5 * time.Second)
		info := s.infos["i-1"]
		s.drain("i-1")
		time.Sleep(3 * time.Second)
		s.fleet.Crash("i-1")
		s.unlist("i-1")
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.concluded("i-1"))
		s.fleet.Restart("i-1")
		info.Born = time.Now().UnixMilli()
		s.list(info)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !s.concluded("i-1"))
	})
}
