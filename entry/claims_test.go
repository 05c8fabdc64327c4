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

// keyed returns a non-idempotent request with an idempotency key.
func keyed(id, key string) request {
	return request{method: http.MethodPost, id: id, key: key, body: "shelter 7"}
}

// A repeated request, through the same or another entry VM, must not run again and must get the same response (G7).
func TestRepeatGetsKeptResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Reservation", "42")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, "reserved")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		for _, e := range []*entryVM{h.addEntry("e1"), h.addEntry("e2"), h.addEntry("e1b")} {
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusCreated)
			assert.Equal(t, got.body, "reserved")
			assert.Equal(t, got.header.Get("X-Reservation"), "42")
			assert.Equal(t, got.verdict(), verdict.Ran)
			time.Sleep(time.Second)
		}
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// A key that was used for one request must not return its response to a different request.
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
			inBubble(t, func(t *testing.T, h *harness) {
				h.addUpstream("u1", "r1", "d1", nil)
				e := h.addEntry("e1")
				assert.Equal(t, e.send(c.first).status, http.StatusOK)
				time.Sleep(time.Second)
				got := e.send(c.second)
				assert.Equal(t, got.status, http.StatusUnprocessableEntity, "%v", got.err)
				assert.Equal(t, got.verdict(), verdict.NotRun)
				assert.Equal(t, h.runsOf("2"), 0)
				again := e.send(c.first)
				assert.Equal(t, again.status, http.StatusOK)
				assert.Equal(t, h.runsOf("1"), 1)
			})
		})
	}
}

// Of concurrent requests with the same key only one may run, whether they arrive at one entry VM (in one grouped
// transaction) or at several (G7).
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "reserved")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		entries := []*entryVM{h.addEntry("e1"), h.addEntry("e2")}
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				got := entries[i%2].send(keyed("1", "k"))
				assert.Check(t, got.status == http.StatusOK && got.body == "reserved", "%+v", got)
			})
		}
		group.Wait()
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// A repeated request waits for the running one until its deadline at most, and its verdict must not be "not run".
func TestRepeatOfRunningRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		go e.send(keyed("1", "k"))
		time.Sleep(100 * time.Millisecond)
		repeat := keyed("1", "k")
		repeat.header = http.Header{"Currantthread-Timeout-Ms": {"1000"}}
		begin := time.Now()
		got := e.send(repeat)
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// The claim of a request that did not run must not block its key.
func TestClaimOfUnrunRequestIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		busy := true
		h.addUpstream("u1", "r1", "d1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.mu.Lock()
			refuse := busy
			h.mu.Unlock()
			if refuse {
				w.Header().Set("Currantthread-Refused", "busy")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h.run(w, r)
		}))
		e := h.addEntry("e1")
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.verdict(), verdict.NotRun)
		h.mu.Lock()
		busy = false
		h.mu.Unlock()
		got = e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// A repeated request must not run if the first one may have run: because its connection was lost, or because its entry
// VM was killed and replaced, under the same or another name (G7).
func TestRepeatOfUnknownOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).verdict(), verdict.MayHaveRun)
		time.Sleep(time.Second)
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
		assert.Equal(t, h.runsOf("1"), 1)
	})
	for successor, longest := range map[string]time.Duration{"e1": time.Second, "e2": 6 * time.Second} {
		inBubble(t, func(t *testing.T, h *harness) {
			h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })
			h.addUpstream("u1", "r1", "d1", nil)
			first := h.addEntry("e1")
			go first.send(keyed("1", "k"))
			time.Sleep(200 * time.Millisecond)
			first.kill()
			if successor != "e1" {
				h.setVMs(func(vms []infra.VM) []infra.VM { return vms[:1] }, nil)
			}
			e := h.addEntry(successor)
			begin := time.Now()
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusConflict)
			assert.Equal(t, got.verdict(), verdict.MayHaveRun)
			assert.Assert(t, time.Since(begin) <= longest, "the repeated request waited for an entry VM that was killed")
			assert.Equal(t, h.runsOf("1"), 1)
		})
	}
}

// While the table is unavailable, keyed requests must be refused and other requests must succeed.
func TestTableUnavailable(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		h.table.SetFaults(standin.TableFaults{Down: true})
		for range 3 {
			got := e.send(keyed("1", "k"))
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, got.verdict(), verdict.NotRun)
		}
		assert.Equal(t, e.send(request{method: http.MethodPost, id: "2"}).status, http.StatusOK)
		assert.Equal(t, e.send(request{method: http.MethodPut, id: "3", key: "k"}).status, http.StatusOK)
		h.table.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, h.runsOf("1"), 1)
		assert.Equal(t, strings.Count(h.log.String(), "\n"), 2, h.log.String())
	})
}

// An outcome must be stored even if the table was unavailable when the response arrived.
func TestOutcomeIsStoredAfterTableOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			h.table.SetFaults(standin.TableFaults{Down: true})
			_, _ = io.WriteString(w, "reserved")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).body, "reserved")
		time.Sleep(time.Minute)
		h.table.SetFaults(standin.TableFaults{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.send(keyed("1", "k")).body, "reserved")
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// If the table's response to a claim is lost, the claim must neither block its key nor let the request run twice.
func TestLostTableResponses(t *testing.T) {
	for lost := range 4 {
		inBubble(t, func(t *testing.T, h *harness) {
			h.addUpstream("u1", "r1", "d1", nil)
			e := h.addEntry("e1")
			h.table.SetFaults(standin.TableFaults{LoseResponses: lost, LoseRequests: 3 - lost})
			first := e.send(keyed("1", "k"))
			time.Sleep(10 * time.Second)
			second := e.send(keyed("1", "k"))
			assert.Equal(t, second.status, http.StatusOK, "%+v then %+v", first, second)
			assert.Equal(t, h.runsOf("1"), 1)
		})
	}
}

// blockedTable loses the response to the first commit and is unreachable from then on, until it is opened.
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

// A claim that was written after its request had been refused as not run must be removed, or it would block the key.
func TestOrphanedClaimIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		blocked := &blockedTable{Table: h.table}
		h.entryTable = blocked
		e := h.addEntry("e1")
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.verdict(), verdict.NotRun)
		assert.Equal(t, h.claimRows(), 1)
		blocked.open()
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.claimRows(), 0)
		assert.Equal(t, h.runsOf("1"), 0)
	})
}

// Responses above 4 KiB must not be stored, and repeated requests must then get the verdict "ran".
func TestLargeResponseIsNotKept(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 5000)) })
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		assert.Equal(t, len(e.send(keyed("1", "k")).body), 5000)
		time.Sleep(time.Second)
		got := e.send(keyed("1", "k"))
		assert.Equal(t, got.status, http.StatusConflict)
		assert.Equal(t, got.verdict(), verdict.Ran)
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// Claims of concurrent requests must share transactions, at most 50 a second, instead of using one for each request.
func TestClaimsAreGrouped(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		before := h.table.Stats().Commits
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				assert.Check(t, e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))).status == http.StatusOK)
			})
		}
		group.Wait()
		time.Sleep(time.Second)
		commits := h.table.Stats().Commits - before
		assert.Assert(t, commits <= 55, "%d transactions for 200 requests in a second", commits)
	})
}

// Claims must be removed after their expiry time and not before.
func TestClaimsExpire(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.configure(func(e *settings.Effective, _ *settings.Service) { e.Entry.ClaimExpiry = settings.Duration(time.Hour) })
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		time.Sleep(59 * time.Minute)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, h.runsOf("1"), 1)
		time.Sleep(5 * time.Minute)
		assert.Equal(t, h.claimRows(), 0)
		assert.Equal(t, e.send(keyed("1", "k")).status, http.StatusOK)
		assert.Equal(t, h.runsOf("1"), 2)
	})
}

// Outcomes must be stored even if the daemon stops right after a response.
func TestOutcomesAreFlushed(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() { e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))) })
		}
		group.Wait()
		e.stop()
		synctest.Wait()
		other := h.addEntry("e2")
		for i := range 20 {
			got := other.send(keyed(fmt.Sprint(i), fmt.Sprint(i)))
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, h.runsOf(fmt.Sprint(i)), 1)
		}
	})
}

// Keyed requests on an idle VM must not wait for the spacing between claim transactions.
func TestClaimOnIdleVMDoesNotWait(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
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

// Repeated requests must not make grouped transactions with the claims of other requests conflict: each such
// transaction is sent again, and with a tenth of requests keyed and repeated more than half of all transactions
// conflicted.
func TestRepeatsCauseNoConflicts(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		assert.Equal(t, e.send(keyed("first", "k")).status, http.StatusOK)
		time.Sleep(time.Second)
		before := h.table.Stats().Conflicts
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() { assert.Check(t, e.send(keyed("first", "k")).status == http.StatusOK) })
			group.Go(func() { assert.Check(t, e.send(keyed(fmt.Sprint(i), fmt.Sprint(i))).status == http.StatusOK) })
		}
		group.Wait()
		assert.Equal(t, h.table.Stats().Conflicts, before)
		assert.Equal(t, h.runsOf("first"), 1)
	})
}
