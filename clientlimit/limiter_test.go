package clientlimit

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
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
