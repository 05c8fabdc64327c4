package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/verdict"
)

// keyed returns a request that issues a reservation under a key.
func keyed(id, key string) request {
	return request{method: http.MethodPost, id: id, key: key, body: "shelter 7"}
}

// Guards against a repeat that runs again, through the same or another entry VM, and against an answer that differs (G7).
func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Reservation", "42")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, "reserved")
		})
		b.addUpstream("u1", "r1", "d1", nil)
		for _, e := range []*entryVM{b.addEntry("e1"), b.addEntry("e2"), b.addEntry("e1b")} {
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusCreated)
			assert.Equal(t, got.body, "reserved")
			assert.Equal(t, got.header.Get("X-Reservation"), "42")
			assert.Equal(t, got.verdict(), verdict.Ran)
			time.Sleep(time.Second)
		}
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against a key that answers another request than the one it was used for.
func TestKeyWithAnotherRequest(t *testing.T) {
	large := string(randomBytes(100 << 10))
	for name, c := range map[string]struct{ first, second request }{
		"body":        {keyed("1", "k"), request{method: http.MethodPost, id: "2", key: "k", body: "shelter 8"}},
		"path":        {keyed("1", "k"), request{method: http.MethodPost, id: "2", key: "k", body: "shelter 7", path: "/svc/kioscos/y"}},
		"method":      {keyed("1", "k"), request{method: http.MethodPatch, id: "2", key: "k", body: "shelter 7"}},
		"large start": {request{method: http.MethodPost, id: "1", key: "k", body: large}, request{method: http.MethodPost, id: "2", key: "k", body: "x" + large[1:]}},
		"large end":   {request{method: http.MethodPost, id: "1", key: "k", body: large}, request{method: http.MethodPost, id: "2", key: "k", body: large[:len(large)-1] + "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, b *bench) {
				b.addUpstream("u1", "r1", "d1", nil)
				e := b.addEntry("e1")
				assert.Equal(t, e.send(c.first).status, http.StatusOK)
				time.Sleep(time.Second)
				got := e.send(c.second)
				assert.Equal(t, got.status, http.StatusUnprocessableEntity, "%v", got.err)
				assert.Equal(t, got.verdict(), verdict.NotRun)
				assert.Equal(t, b.runsOf("2"), 0)
				again := e.send(c.first)
				assert.Equal(t, again.status, http.StatusOK)
				assert.Equal(t, b.runsOf("1"), 1)
			})
		})
	}
}

// Guards against concurrent requests with one key that both run, in one entry VM (one grouped transaction) and in
// several (G7).
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "reserved")
		})
		b.addUpstream("u1", "r1", "d1", nil)
		entries := []*entryVM{b.addEntry("e1"), b.addEntry("e2")}
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				got := entries[i%2].send(keyed("1", "k"))
				assert.Check(t, got.status == http.StatusOK && got.body == "reserved", "%+v", got)
			})
		}
		group.Wait()
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against a repeat that waits beyond its deadline for a running request, or that is told "not run".
func TestRepeatOfRunningRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		go e.send(keyed("1", "k"))
		time.Sleep(100 * time.Millisecond)
		repeat := keyed("1", "k")
		repeat.header = http.Header{"Currantthread-Timeout-Ms": {"1000"}}
		begin := time.Now()
		got := e.send(repeat)
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against a claim that blocks its key although its request did not run.
func TestClaimOfUnrunRequestIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		busy := true
		b.addUpstream("u1", "r1", "d1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			refuse := busy
			b.mu.Unlock()
			if refuse {
				w.Header().Set("Currantthread-Refused", "busy")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			b.run(w, r)
		}))
		e := b.addEntry("e1")
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.verdict(), verdict.NotRun)
		b.mu.Lock()
		busy = false
		b.mu.Unlock()
		got = e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against a repeat that runs although the first request may have run: its connection was lost, or its entry VM
// was killed and replaced, also under the same name (G7).
func TestRepeatOfUnknownOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).verdict(), verdict.MayHaveRun)
		time.Sleep(time.Second)
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
		assert.Equal(t, b.runsOf("1"), 1)
	})
	for successor, longest := range map[string]time.Duration{"e1": time.Second, "e2": 6 * time.Second} {
		inBubble(t, func(t *testing.T, b *bench) {
			b.setAnswer(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })
			b.addUpstream("u1", "r1", "d1", nil)
			first := b.addEntry("e1")
			go first.send(keyed("1", "k"))
			time.Sleep(200 * time.Millisecond)
			first.kill()
			if successor != "e1" {
				b.setVMs(func(vms []infra.VM) []infra.VM { return vms[:1] }, nil)
			}
			e := b.addEntry(successor)
			begin := time.Now()
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusConflict)
			assert.Equal(t, got.verdict(), verdict.MayHaveRun)
			assert.Assert(t, time.Since(begin) <= longest, "the repeat waited for an entry VM that is gone")
			assert.Equal(t, b.runsOf("1"), 1)
		})
	}
}

// Guards against keyed requests that run without a claim while the table is unavailable, and against others that stop
// with it.
func TestTableDown(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		b.table.SetFaults(standin.TableFaults{Down: true})
		for range 3 {
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, got.verdict(), verdict.NotRun)
		}
		assert.Equal(t, e.send(request{method: http.MethodPost, id: "2"}).status, http.StatusOK)
		assert.Equal(t, e.send(request{method: http.MethodPut, id: "3", key: "k"}).status, http.StatusOK)
		b.table.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, b.runsOf("1"), 1)
		assert.Equal(t, strings.Count(b.log.String(), "\n"), 2, b.log.String())
	})
}

// Guards against outcomes that are forgotten because the table was unavailable when the answer came.
func TestOutcomeSurvivesOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			b.table.SetFaults(standin.TableFaults{Down: true})
			_, _ = io.WriteString(w, "reserved")
		})
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).body, "reserved")
		time.Sleep(time.Minute)
		b.table.SetFaults(standin.TableFaults{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.send(keyed("1", "k")).body, "reserved")
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against a claim whose answer was lost and that then blocks its key or lets the request run twice.
func TestLostTableAnswers(t *testing.T) {
	for lost := range 4 {
		inBubble(t, func(t *testing.T, b *bench) {
			b.addUpstream("u1", "r1", "d1", nil)
			e := b.addEntry("e1")
			b.table.SetFaults(standin.TableFaults{LoseAnswers: lost, LoseRequests: 3 - lost})
			first := e.send(keyed("1", "k"))
			time.Sleep(10 * time.Second)
			second := e.send(keyed("1", "k"))
			assert.Equal(t, second.status, http.StatusOK, "%+v then %+v", first, second)
			assert.Equal(t, b.runsOf("1"), 1)
		})
	}
}

// blockedTable loses the answer of the first claim and is unreachable from then on, until it is opened.
type blockedTable struct {
	infra.Table
	mu      sync.Mutex // guards the fields below
	blocked bool
	opened  bool
}

func (b *blockedTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.opened:
		return b.Table.Commit(ctx, txn)
	case !b.blocked:
		b.blocked = true
		_, _ = b.Table.Commit(ctx, txn)
	}
	return 0, &infra.UnknownOutcomeError{Err: io.ErrUnexpectedEOF}
}

func (b *blockedTable) Read(ctx context.Context, keys ...string) ([]infra.Row, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked && !b.opened {
		return nil, &infra.UnavailableError{Err: io.ErrUnexpectedEOF}
	}
	return b.Table.Read(ctx, keys...)
}

func (b *blockedTable) open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened = true
}

// Guards against a claim that was written although its request was refused as not run, and that then blocks the key.
func TestOrphanedClaimIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		blocked := &blockedTable{Table: b.table}
		b.through = blocked
		e := b.addEntry("e1")
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.verdict(), verdict.NotRun)
		assert.Equal(t, b.claimRows(), 1)
		blocked.open()
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.claimRows(), 0)
		assert.Equal(t, b.runsOf("1"), 0)
	})
}

// Guards against answers that are kept beyond 4 KiB, and against a repeat that is then told anything but "ran".
func TestLargeAnswerIsNotKept(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.setAnswer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 5000)) })
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		assert.Equal(t, len(e.send(keyed("1", "k")).body), 5000)
		time.Sleep(time.Second)
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.Ran)
		assert.Equal(t, b.runsOf("1"), 1)
	})
}

// Guards against one table write for each keyed request: claims of concurrent requests share transactions, at most 50 a
// second.
func TestClaimsAreGrouped(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		before := b.table.Stats().Commits
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				assert.Check(t, e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))).status == http.StatusOK)
			})
		}
		group.Wait()
		time.Sleep(time.Second)
		commits := b.table.Stats().Commits - before
		assert.Assert(t, commits <= 55, "%d transactions for 200 requests in a second", commits)
	})
}

// Guards against claims that stay for ever, and against keys that are forgotten too early.
func TestClaimsExpire(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.configure(func(e *settings.Effective, _ *settings.Service) { e.Entry.ClaimExpiry = settings.Duration(time.Hour) })
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		time.Sleep(59 * time.Minute)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, b.runsOf("1"), 1)
		time.Sleep(5 * time.Minute)
		assert.Equal(t, b.claimRows(), 0)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, b.runsOf("1"), 2)
	})
}

// Guards against outcomes that are lost when the daemon stops right after an answer.
func TestOutcomesAreFlushed(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() { e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))) })
		}
		group.Wait()
		e.stop()
		synctest.Wait()
		other := b.addEntry("e2")
		for i := range 20 {
			got := other.send(keyed(fmt.Sprint(i), fmt.Sprint(i)))
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, b.runsOf(fmt.Sprint(i)), 1)
		}
	})
}

// Guards against keyed requests on a quiet VM that wait out the spacing between transactions of claims.
func TestClaimOnQuietVMDoesNotWait(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		e.send(keyed("0", "0"))
		for i := range 5 {
			time.Sleep(200 * time.Millisecond)
			began := time.Now()
			e.send(keyed(fmt.Sprint(i+1), fmt.Sprint(i+1)))
			e.send(keyed(fmt.Sprint(i+10), fmt.Sprint(i+10)))
			assert.Assert(t, time.Since(began) < 20*time.Millisecond, "took %v", time.Since(began))
		}
	})
}

// Guards against repeats that make the transactions of other requests' claims conflict: each such transaction is sent again,
// and with a tenth of requests keyed and repeated more than half of all transactions conflicted.
func TestRepeatsDoNotDisturbOtherClaims(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.addUpstream("u1", "r1", "d1", nil)
		e := b.addEntry("e1")
		assert.Equal(t, e.send(keyed("first", "k")).status, http.StatusOK)
		time.Sleep(time.Second)
		before := b.table.Stats().Conflicts
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() { assert.Check(t, e.send(keyed("first", "k")).status == http.StatusOK) })
			group.Go(func() { assert.Check(t, e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))).status == http.StatusOK) })
		}
		group.Wait()
		assert.Equal(t, b.table.Stats().Conflicts, before)
		assert.Equal(t, b.runsOf("first"), 1)
	})
}
