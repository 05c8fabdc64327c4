package clientlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/internal/memory"
)

// step is more than the time by which a connection may be closed late.
const step = 2 * checkInterval

// A head that is as large as allowed must be served, and a larger one refused while net/http has not parsed it.
func TestHeadOfLargestSize(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		for range 3 {
			c.send(headOf(testHeader))
			c.expect(http.StatusOK)
		}
		c = w.dial()
		c.send(headOf(testHeader + 1))
		c.expect(http.StatusRequestHeaderFieldsTooLarge)
	})
}

// A body that is as large as allowed must be served, and a larger one refused.
func TestBodyOfLargestSize(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		for range 2 {
			c.send(post("/", maxBody) + strings.Repeat("b", maxBody))
			assert.Equal(t, c.expect(http.StatusOK), strconv.Itoa(maxBody))
		}
		c.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("10\r\n0123456789abcdef\r\n", maxBody/16) + "0\r\n\r\n")
		assert.Equal(t, c.expect(http.StatusOK), strconv.Itoa(maxBody))
		assert.Equal(t, w.held(), int64(connCost), "the bytes of ended requests are still charged")
		c.send(post("/", maxBody+1))
		c.expect(http.StatusRequestEntityTooLarge)
	})
}

// A connection that is idle for just under the limit must stay open, before its first request and between two, and one that is idle for
// longer must not keep its descriptor.
func TestIdleConnection(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		for range 3 {
			time.Sleep(testIdle - time.Millisecond)
			c.expectOpen()
		}
		c.send("\r\n") // an empty line is not the start of a request
		time.Sleep(testIdle + step)
		c.expectClosed()
		assert.Equal(t, w.open(), 0)
	})
}

// A head that arrives just in time must be served, and a later one refused.
func TestSlowHead(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		time.Sleep(testIdle - time.Millisecond)
		c.send("GET / HTTP/1.1\r\n")
		time.Sleep(testHeadTime - time.Millisecond)
		c.send("Host: a\r\n\r\n")
		c.expect(http.StatusOK)
		c.send("GET / HTTP/1.1\r\n")
		time.Sleep(testHeadTime + step)
		c.expect(http.StatusRequestTimeout)
	})
}

// A body that arrives slowly but steadily must be served however long it takes. One that stops must not be held for ever.
func TestSlowBody(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send(post("/", maxBody))
		for range maxBody / progressBytes {
			time.Sleep(progressTimeout - step)
			c.send(strings.Repeat("b", progressBytes))
		}
		c.expect(http.StatusOK)
		c.send(post("/", maxBody) + strings.Repeat("b", maxBody-1))
		time.Sleep(progressTimeout + step)
		c.expect(http.StatusRequestTimeout)
	})
}

// A handler that stops reading a body must not be mistaken for a client that makes no progress.
func TestHandlerThatPauses(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send(post(pausePath, maxBody) + "b")
		time.Sleep(time.Hour)
		close(w.release)
		time.Sleep(step)
		c.send(strings.Repeat("b", maxBody-1))
		assert.Equal(t, c.expect(http.StatusOK), strconv.Itoa(maxBody-1))
	})
}

// A handler that takes long must not be mistaken for a client that makes no progress.
func TestSlowHandler(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send(post(holdPath, 2) + "ok")
		time.Sleep(time.Hour)
		close(w.release)
		c.expect(http.StatusOK)
	})
}

// A client that does not read a response must not hold its connection for ever.
func TestUnreadResponse(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send(get(largePath))
		time.Sleep(writeTimeout + step)
		assert.Equal(t, w.open(), 0)
	})
}

// Empty lines without end must not keep a connection open. net/http refuses them too, with the same status.
func TestEmptyLinesAreBounded(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send(post("/", 0))
		c.expect(http.StatusOK)
		c.send(strings.Repeat("\r\n", maxEmptyLines+1))
		c.expect(http.StatusBadRequest)
	})
}

// A configuration that lowers or raises limits must apply to connections that are already open.
func TestLimitsChangeWhileConnectionsAreOpen(t *testing.T) {
	inBubble(t, func(w *world) {
		short, long := w.dial(), w.dial()
		w.limiter.SetLimits(Limits{HeaderBytes: testHeader, HeaderTimeout: testHeadTime, IdleTimeout: time.Second})
		time.Sleep(time.Second + step)
		short.expectClosed()
		long.expectClosed()
		long = w.dial()
		w.limiter.SetLimits(Limits{HeaderBytes: 2 * testHeader, HeaderTimeout: testHeadTime, IdleTimeout: time.Hour})
		time.Sleep(time.Hour - step)
		long.send(headOf(2 * testHeader))
		long.expect(http.StatusOK)
	})
}

// When the memory is used up, the client that holds most for longest without progress must be closed, not the newest or an ordinary one.
func TestBudgetClosesWhoHoldsMostWithoutProgress(t *testing.T) {
	inBubble(t, func(w *world) {
		w.limiter.SetBudget(Budget{Bytes: 2*maxBody + 8*connCost, Connections: 100})
		ordinary, stalled := w.dial(), w.dial()
		ordinary.expectOpen()
		stalled.send(post("/", maxBody) + strings.Repeat("b", maxBody-1))
		time.Sleep(time.Second)
		active := w.dial()
		active.send(post("/", maxBody) + strings.Repeat("b", maxBody-1))
		newest := w.dial()
		newest.send(post("/", maxBody) + strings.Repeat("b", maxBody))
		newest.expect(http.StatusOK)
		stalled.expectClosed()
		active.send("b")
		active.expect(http.StatusOK)
		ordinary.expectOpen()
	})
}

// Header lines cost more than their bytes, and must be charged before net/http has parsed them.
func TestHeaderLinesAreCharged(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 5000))
		assert.Assert(t, w.held() > 5000*lineCost, "%d bytes are charged", w.held())
		c.send("Host: a\r\n\r\n")
		c.expect(http.StatusOK)
		assert.Equal(t, w.held(), int64(connCost))
		assert.NilError(t, c.Close())
		time.Sleep(step)
		assert.Equal(t, w.held(), int64(0))
	})
}

// A new client must be admitted when all connections are in use, at the expense of one that has been idle for longest.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 8
	inBubble(t, func(w *world) {
		w.limiter.SetBudget(Budget{Bytes: 1 << 30, Connections: most})
		served := w.dial()
		served.send(get(holdPath))
		var idle []*client
		for range most {
			time.Sleep(time.Second)
			idle = append(idle, w.dial())
			assert.Assert(t, w.open() <= most)
		}
		idle[0].expectClosed()
		for _, c := range idle[1:] {
			c.expectOpen()
		}
		close(w.release)
		served.expect(http.StatusOK)
	})
}

// A request that is being served must not lose its connection to another one. A request that finds nothing to close is refused.
func TestServedRequestsKeepTheirMemory(t *testing.T) {
	inBubble(t, func(w *world) {
		w.limiter.SetBudget(Budget{Bytes: maxBody + 8*connCost, Connections: 100})
		served := w.dial()
		served.send(post(holdPath, maxBody) + strings.Repeat("b", maxBody))
		time.Sleep(time.Second)
		refused := w.dial()
		refused.send(post("/", maxBody) + strings.Repeat("b", maxBody))
		refused.expect(http.StatusServiceUnavailable)
		close(w.release)
		served.expect(http.StatusOK)
	})
}

// A request that waits to be decoded must not hold its body after its connection was closed for another one: many such bodies would exceed the
// budget.
func TestClosedConnectionLeavesTheDecodeQueue(t *testing.T) {
	inBubble(t, func(w *world) {
		const budget = 3*maxBody + 8*connCost
		w.limiter.SetBudget(Budget{Bytes: budget, Connections: 100})
		var clients []*client
		for range 4 { // two are decoded, one waits, and the last one needs its memory
			c := w.dial()
			// net/http does not notice that a connection was closed after it has received a byte of the next request.
			c.send(post(decodePath, maxBody) + strings.Repeat("b", maxBody) + "G")
			clients = append(clients, c)
			time.Sleep(time.Second)
		}
		clients[2].expectClosed()
		assert.Equal(t, w.bodies.Load(), int64(3*maxBody))
		assert.Assert(t, w.held() <= budget)
		close(w.release)
		synctest.Wait()
		for _, i := range []int{0, 1, 3} {
			clients[i].expect(http.StatusOK)
		}
		assert.Equal(t, w.held(), int64(3*connCost))
	})
}

// What a closed connection holds must stay charged until its handler has ended, and whoever needs it must wait for that.
func TestClosedConnectionIsChargedUntilItsRequestEnds(t *testing.T) {
	inBubble(t, func(w *world) {
		const budget = 2 * connCost
		w.limiter.SetBudget(Budget{Bytes: budget, Connections: 100})
		conns := []*Conn{w.admit(), w.admit()}
		admitted := make(chan *Conn, 1)
		go func() { admitted <- w.admit() }()
		synctest.Wait()
		assert.Equal(t, w.held(), int64(budget))
		select {
		case <-admitted:
			t.Fatal("a connection was admitted before another one gave its memory back")
		default:
		}
		closed := slices.IndexFunc(conns, func(c *Conn) bool { return c.ending })
		assert.NilError(t, conns[closed].Close())
		third := <-admitted
		assert.Assert(t, third != nil)
		assert.Equal(t, w.held(), int64(budget))
		// A connection that is never given back must not hold up others for ever.
		assert.Assert(t, w.admit() == nil)
		for _, c := range append(conns, third) {
			assert.NilError(t, c.Close())
		}
		assert.Equal(t, w.held(), int64(0))
		assert.Equal(t, w.open(), 0)
	})
}

// net/http holds a refused head until it closes the connection, so that must not wait until the client has stopped sending.
func TestRefusedHeadIsNotHeld(t *testing.T) {
	inBubble(t, func(w *world) {
		c := w.dial()
		c.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", testHeader))
		c.expect(http.StatusRequestHeaderFieldsTooLarge)
		assert.Equal(t, w.ended.Load(), int64(1))
		assert.Equal(t, w.open(), 1, "the client could lose the response")
		assert.Equal(t, w.held(), int64(connCost))
		time.Sleep(lingerTime)
		assert.Equal(t, w.open(), 0)
		assert.Equal(t, w.held(), int64(0))
	})
}

// A smaller budget must also apply to what is held already.
func TestBudgetShrinks(t *testing.T) {
	inBubble(t, func(w *world) {
		first, second := w.dial(), w.dial()
		for _, c := range []*client{first, second} {
			c.send(post("/", maxBody) + strings.Repeat("b", maxBody-1))
			time.Sleep(time.Second)
		}
		w.limiter.SetBudget(Budget{Bytes: maxBody + 2*connCost, Connections: 100})
		assert.Assert(t, w.held() <= maxBody+2*connCost)
		first.expectClosed()
		w.limiter.SetBudget(Budget{Bytes: 1 << 20, Connections: 1})
		assert.Equal(t, w.open(), 1)
		second.send("b")
		second.expect(http.StatusOK)
		third := w.dial()
		third.expectOpen()
		second.expectClosed()
	})
}

// What others hold of a shared pool must leave less to clients, or the budgets exceed the memory of the VM together.
func TestPoolIsShared(t *testing.T) {
	inBubble(t, func(w *world) {
		pool := memory.NewPool()
		pool.SetLimit(4 * connCost)
		w.limiter.Pool = pool
		w.limiter.SetBudget(Budget{Bytes: 4 * connCost, Connections: 100})
		first, _ := w.dial(), w.dial()
		assert.Equal(t, pool.Free(), int64(2*connCost))
		pool.Add(2 * connCost) // by others
		time.Sleep(time.Second)
		third := w.dial()
		third.expectOpen()
		first.expectClosed()
		assert.Assert(t, pool.Free() >= 0, "%d", pool.Free())
		pool.Add(-2 * connCost)
		assert.NilError(t, third.Close())
		time.Sleep(step)
		assert.Equal(t, pool.Free(), int64(4*connCost))

		// However much others hold, clients keep a part of their budget.
		w.limiter.SetBudget(Budget{Bytes: leastShare * 2 * connCost, Connections: 100})
		pool.Add(100 * connCost)
		w.dial().expectOpen()
		pool.Add(-100 * connCost)
		w.network.CutAll()
		time.Sleep(step)

		peers := NewPeerLimiter(prometheus.NewRegistry(), "test")
		peers.Pool = pool
		_, err := peers.Charge(4*connCost + 1)
		assert.Assert(t, errors.Is(err, ErrBudget))
		release, err := peers.Charge(4 * connCost)
		assert.NilError(t, err)
		assert.Equal(t, pool.Free(), int64(0))
		release()
		assert.Equal(t, pool.Free(), int64(4*connCost))
	})
}

// Clients that are refused together must not return together.
func TestRefusalsSpreadRetries(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(refusal(http.StatusServiceUnavailable))), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		seen[response.Header.Get("Retry-After")] = true
	}
	for value := range seen {
		seconds, err := strconv.Atoi(value)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 1 && time.Duration(seconds)*time.Second <= maxRetryAfter, value)
	}
	assert.Assert(t, len(seen) > 1, "all clients return after %v s", seen)
}

// The settings of the smallest VM must leave memory and descriptors for the rest of a node.
func TestBudgetOfTheSmallestVM(t *testing.T) {
	b := BudgetOf(184, 4100)
	assert.Equal(t, b, Budget{Bytes: 184 << 20 * 30 / 100, Connections: 1950})
	assert.Equal(t, BudgetOf(0, 0), Budget{Bytes: defaultBytes, Connections: defaultConnections})
	assert.Equal(t, BudgetOf(64, 128).Connections, 32)
}

// The end of a head must be found wherever the reads divide it.
func TestHeadScanDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.SampledFrom([]byte("a:\r\n\n")), 0, 40).Draw(t, "data")
		var whole, parts headScan
		whole.feed(data)
		for rest := data; len(rest) > 0 && !parts.done; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			parts.feed(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, fmt.Sprint(parts), fmt.Sprint(whole))
	})
}
