package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/memnet"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Requests and responses must be forwarded unchanged, but without hop-by-hop headers and headers for the entry daemon.
func TestRequestAndResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.URL.RequestURI() == "/parks/a%2Fb?q=1")
			assert.Check(t, r.Header.Get("X-Hop") == "" && r.Header.Get("Currantthread-Priority") == "")
			assert.Check(t, r.Header.Get("Currantthread-Timeout-Ms") == "1500")
			w.Header().Set("X-Shelter", "7")
			w.Header().Set("Currantthread-Load", "inflight=1,slots=8,queue=0")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, "booked")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		got := e.send(request{method: http.MethodPost, path: "/svc/kioscos/parks/a%2Fb?q=1", id: "1", body: "b", header: http.Header{
			"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Currantthread-Priority": {"batch"}, "Currantthread-Timeout-Ms": {"1500"},
		}})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusCreated)
		assert.Equal(t, got.body, "booked")
		assert.Equal(t, got.verdict(), verdict.Ran)
		assert.Equal(t, got.header.Get("X-Shelter"), "7")
		assert.Equal(t, got.header.Get("Currantthread-Load"), "")
		assert.Assert(t, got.header.Get(upstream.HeaderRequestID) != "")
		assert.Equal(t, h.runsOf("1"), 1)
		o := <-e.observed
		assert.Equal(t, o.Status, http.StatusCreated)
		assert.Equal(t, o.Upstream, "u1")
		assert.Equal(t, o.Verdict, verdict.Ran)
	})
}

// rawUpstream responds to the first request of each connection with fixed bytes and closes the connection.
func (h *harness) rawUpstream(id, response string) {
	addr := id + ":80"
	listener := h.network.Listen(addr)
	h.stops = append(h.stops, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 64<<10)
				if _, err := conn.Read(buf); err == nil {
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	h.setVMs(func(vms []infra.VM) []infra.VM {
		return append(vms, infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive, Region: "r1", Domain: "d1", Addr: addr, Service: testService})
	}, nil)
}

// Upstreams that do not send this system's headers must work, including chunked responses, 1xx, 204, 304, HEAD, and
// bodies that end with the connection.
func TestPlainUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		method, raw, body string
		status            int
		header            http.Header
	}{
		"chunked": {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 200, nil},
		"1xx":     {"GET", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 200, nil},
		"204":     {"POST", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", "", 204, http.Header{"X-A": {"1"}}},
		"304":     {"GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"e\"\r\n\r\n", "", 304, http.Header{"Etag": {`"e"`}}},
		"head":    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "", 200, http.Header{"Content-Length": {"7"}}},
		"close":   {"GET", "HTTP/1.0 200 OK\r\n\r\nto the end", "to the end", 200, nil},
		"no type": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>", "<html>", 200, http.Header{"Content-Type": nil}},
		"error":   {"GET", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", "no", 503, nil},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, h *harness) {
				h.rawUpstream("u1", c.raw)
				got := h.addEntry("e1").send(request{method: c.method})
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, got.body, c.body)
				assert.Equal(t, got.verdict(), verdict.Ran)
				for name, want := range c.header {
					assert.DeepEqual(t, got.header[name], want)
				}
			})
		})
	}
}

// Bodies of 1 MiB up and 8 MiB down, with and without a known length, must arrive unchanged.
func TestLargeBodies(t *testing.T) {
	up, down := randomBytes(1<<20), randomBytes(8<<20)
	for _, known := range []bool{true, false} {
		inBubble(t, func(t *testing.T, h *harness) {
			var received []byte
			h.addUpstream("u1", "r1", "d1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received, _ = io.ReadAll(r.Body)
				if known {
					w.Header().Set("Content-Length", fmt.Sprint(len(down)))
				}
				_, _ = w.Write(down)
			}))
			reader := io.Reader(bytes.NewReader(up))
			if !known {
				reader = io.MultiReader(reader)
			}
			got := h.addEntry("e1").send(request{method: http.MethodPost, reader: reader, key: "k"})
			assert.NilError(t, got.err)
			assert.Assert(t, bytes.Equal(received, up))
			assert.Assert(t, got.body == string(down))
		})
	}
}

func randomBytes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// Invalid requests must not be forwarded, and must be refused with a verdict.
func TestBadInput(t *testing.T) {
	line := "POST /svc/kioscos/x HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		raw, status, code string
	}{
		"unknown path":       {"GET /other HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "404 Not Found", "unknown-path"},
		"unknown service":    {"GET /svc/none/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "404 Not Found", "unknown-service"},
		"unknown method":     {"BREW /svc/kioscos/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "405 Method Not Allowed", "method-not-allowed"},
		"malformed":          {"what\r\n\r\n", "400 Bad Request", "bad-request"},
		"no host":            {"GET /svc/kioscos/x HTTP/1.1\r\n\r\n", "400 Bad Request", "bad-request"},
		"lengths differ":     {line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 Bad Request", "bad-request"},
		"length and chunks":  {line + "content-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 Bad Request", "bad-request"},
		"chunks and length":  {line + "Transfer-Encoding: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n0\r\n\r\n", "400 Bad Request", "bad-request"},
		"unknown encoding":   {line + "Transfer-Encoding: gzip\r\n\r\n", "400 Bad Request", "bad-request"},
		"header too large":   {line + "Connection: close\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431 Request Header Fields Too Large", "header-too-large"},
		"header far too big": {line + "X: " + strings.Repeat("x", 1100<<10) + "\r\n\r\n", "431 Request Header Fields Too Large", "header-too-large"},
		"body too large":     {line + "Connection: close\r\nContent-Length: 16777217\r\n\r\n", "413 Request Entity Too Large", "body-too-large"},
		"timeout":            {line + "Connection: close\r\nCurrantthread-Timeout-Ms: soon\r\nContent-Length: 0\r\n\r\n", "400 Bad Request", "bad-request"},
		"priority":           {line + "Connection: close\r\nCurrantthread-Priority: first\r\nContent-Length: 0\r\n\r\n", "400 Bad Request", "bad-request"},
		"key too long":       {line + "Connection: close\r\nIdempotency-Key: " + strings.Repeat("k", 256) + "\r\nContent-Length: 0\r\n\r\n", "400 Bad Request", "bad-request"},
		"two keys":           {line + "Connection: close\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", "400 Bad Request", "bad-request"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, h *harness) {
				h.addUpstream("u1", "r1", "d1", nil)
				got := h.addEntry("e1").sendRaw(c.raw)
				status, _, _ := strings.Cut(got, "\r\n")
				assert.Equal(t, status, "HTTP/1.1 "+c.status)
				assert.Assert(t, strings.Contains(got, "Currantthread-Verdict: not-run\r\n"), got)
				assert.Assert(t, strings.Contains(got, `{"verdict":"not-run","code":"`+c.code+`","message":"`), got)
				assert.Assert(t, strings.Contains(got, `"request_id":"e1-`), got)
				assert.Equal(t, len(h.runs), 0)
			})
		})
	}
}

// A chunked body that exceeds the limit must not reach the upstream as complete.
func TestChunkedBodyTooLarge(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.configure(func(e *settings.Effective, _ *settings.Service) { e.Entry.MaxBodyBytes = 200 << 10 })
		h.addUpstream("u1", "r1", "d1", nil)
		got := h.addEntry("e1").send(request{method: http.MethodPost, id: "1", reader: io.MultiReader(bytes.NewReader(randomBytes(300 << 10)))})
		assert.Equal(t, got.status, http.StatusRequestEntityTooLarge, got.body)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
		assert.Equal(t, h.runsOf("1"), 0)
	})
}

// A response body that looks like an error response of net/http must not be replaced. The padding shifts the text
// across every position at which net/http may begin a write.
func TestResponseThatLooksLikeRefusal(t *testing.T) {
	text := "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	inBubble(t, func(t *testing.T, h *harness) {
		body := strings.Repeat(text, 200)
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Pad", r.Header.Get("X-Pad"))
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body)
		})
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		for i := range text {
			got := e.send(request{header: http.Header{"X-Pad": {strings.Repeat("x", i+1)}}})
			assert.NilError(t, got.err)
			assert.Assert(t, got.body == body, "padding %d", i)
		}
	})
}

// A truncated response must not look complete to the caller (G5).
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		inBubble(t, func(t *testing.T, h *harness) {
			h.rawUpstream("u1", "HTTP/1.1 200 OK\r\n"+head)
			e := h.addEntry("e1")
			got := e.send(request{method: http.MethodPost, body: "b"})
			assert.Assert(t, got.err != nil, "%q looked complete", got.body)
			o := <-e.observed
			assert.Equal(t, o.Status, 0)
		})
	}
}

// An HTTP/1.0 caller can only recognise a truncated response by a connection reset (G5).
func TestTruncatedResponseResetsHTTP10Connection(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.rawUpstream("u1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		e := h.addEntry("e1")
		conn, err := h.network.Dial(t.Context(), "e1:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /svc/kioscos/x HTTP/1.0\r\n\r\n")
		assert.NilError(t, err)
		got, err := io.ReadAll(conn)
		assert.ErrorIs(t, err, memnet.ErrReset, "%q looked complete", got)
		assert.Equal(t, (<-e.observed).Status, 0)
	})
}

// refusing returns a handler that refuses all requests and counts them.
func refusing(reason string, seen *int, mu *sync.Mutex) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		*seen++
		mu.Unlock()
		w.Header().Set("Currantthread-Refused", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Refused requests must be retried on other upstreams, up to the maximum number of retries.
func TestRetriesAfterRefusals(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		var mu sync.Mutex
		seen := 0
		for i := range 4 {
			h.addUpstream(fmt.Sprintf("u%d", i), "r1", "d1", refusing("busy", &seen, &mu))
		}
		e := h.addEntry("e1")
		got := e.send(request{method: http.MethodPost, body: "b"})
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.verdict(), verdict.NotRun)
		assert.Equal(t, got.code(), upstream.CodeBusy)
		assert.Equal(t, got.header.Get("Retry-After"), "1")
		assert.Equal(t, seen, 3)
	})
	inBubble(t, func(t *testing.T, h *harness) {
		var mu sync.Mutex
		seen := 0
		h.addUpstream("u1", "r1", "d1", refusing("busy", &seen, &mu))
		h.addUpstream("u2", "r1", "d1", nil)
		e := h.addEntry("e1")
		for i := range 20 {
			id := fmt.Sprint(i)
			got := e.send(request{method: http.MethodPost, id: id, body: "b"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, h.runsOf(id), 1)
			time.Sleep(time.Second)
		}
	})
}

// When all upstreams refuse, retries must stay within their budget.
func TestRetryBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		var mu sync.Mutex
		seen := 0
		for i := range 4 {
			h.addUpstream(fmt.Sprintf("u%d", i), "r1", "d1", refusing("busy", &seen, &mu))
		}
		e := h.addEntry("e1")
		const requests = 200
		var group sync.WaitGroup
		for range requests {
			group.Go(func() { e.send(request{method: http.MethodPost, body: "b"}) })
		}
		group.Wait()
		// The budget is 10% of the requests and a floor of 3 a second, with an initial burst of 3.
		assert.Assert(t, seen >= requests && seen <= requests+requests/10+6, "%d exchanges", seen)
	})
}

// After a lost connection a non-idempotent request that was partly sent must not be retried (G7), and an idempotent one
// must be.
func TestRetryAfterLostConnection(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPatch, http.MethodGet, http.MethodPut} {
		inBubble(t, func(t *testing.T, h *harness) {
			lost := 0
			h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				h.mu.Lock()
				defer h.mu.Unlock()
				if lost++; lost == 1 {
					panic(http.ErrAbortHandler)
				}
			})
			h.addUpstream("u1", "r1", "d1", nil)
			h.addUpstream("u2", "r1", "d1", nil)
			got := h.addEntry("e1").send(request{method: method, id: "1"})
			if method == http.MethodPost || method == http.MethodPatch {
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.verdict(), verdict.MayHaveRun)
				assert.Equal(t, h.runsOf("1"), 1)
				return
			}
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, h.runsOf("1"), 2)
		})
	}
}

// If the last attempt was refused but an earlier one may have run, the verdict must not be "not run" (G6).
func TestVerdictCoversAllRetries(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		attempts := 0
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if attempts++; attempts == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Currantthread-Refused", "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		h.addUpstream("u1", "r1", "d1", nil)
		h.addUpstream("u2", "r1", "d1", nil)
		got := h.addEntry("e1").send(request{id: "1"})
		assert.Equal(t, got.code(), upstream.CodeBusy)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
	})
}

// Checks which methods and paths count as idempotent, by the number of runs after a lost connection.
func TestIdempotentPathsAndServices(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		all          bool
		runs         int
	}{
		"listed path":       {http.MethodPost, "/svc/kioscos/availability/7", false, 2},
		"listed path alone": {http.MethodPost, "/svc/kioscos/availability", true, 2},
		"longer name":       {http.MethodPost, "/svc/kioscos/availability2", false, 1},
		"dots":              {http.MethodPost, "/svc/kioscos/availability/../issue", false, 1},
		"escaped dots":      {http.MethodPost, "/svc/kioscos/availability/%2e%2e/issue", false, 1},
		"escaped slash":     {http.MethodPost, "/svc/kioscos/availability%2Fissue", false, 1},
		"all methods":       {http.MethodPut, "/svc/kioscos/x", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, h *harness) {
				h.configure(func(_ *settings.Effective, s *settings.Service) {
					s.IdempotentPaths = []string{"/availability/"}
					s.NonIdempotentAll = c.all
					s.MaxRetries = 1
				})
				h.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
				h.addUpstream("u1", "r1", "d1", nil)
				got := h.addEntry("e1").send(request{method: c.method, path: c.path, id: "1"})
				assert.Equal(t, got.verdict(), verdict.MayHaveRun)
				assert.Equal(t, h.runsOf("1"), c.runs)
			})
		})
	}
}

// When a caller disconnects, its non-idempotent request must run to the end and its outcome must be stored.
func TestCallerDisconnects(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		cancelled := false
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				cancelled = true
			case <-time.After(time.Second):
			}
			_, _ = io.WriteString(w, "done")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		got := e.send(request{method: http.MethodPost, id: "1", body: "b", key: "k", ctx: ctx})
		assert.ErrorIs(t, got.err, context.DeadlineExceeded)
		time.Sleep(time.Second)
		assert.Assert(t, !cancelled)
		again := e.send(request{method: http.MethodPost, id: "1", body: "b", key: "k"})
		assert.Equal(t, again.body, "done")
		assert.Equal(t, h.runsOf("1"), 1)
	})
}

// A caller that stops in the middle of its body must not hold an upstream connection beyond its deadline, and its
// request must not look complete to the upstream.
func TestCallerTruncatesBody(t *testing.T) {
	for _, declared := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"} {
		for _, leaves := range []bool{true, false} {
			inBubble(t, func(t *testing.T, h *harness) {
				h.addUpstream("u1", "r1", "d1", nil)
				e := h.addEntry("e1")
				conn, err := h.network.Dial(t.Context(), "e1:80")
				assert.NilError(t, err)
				_, err = io.WriteString(conn, "POST /svc/kioscos/x HTTP/1.1\r\nHost: h\r\nTest-Id: 1\r\n"+declared+strings.Repeat("a", 70000))
				assert.NilError(t, err)
				if leaves {
					time.Sleep(time.Second)
					conn.Close()
				}
				o := <-e.observed
				assert.Equal(t, o.Verdict, verdict.MayHaveRun)
				assert.Assert(t, o.Latency <= 11*time.Second, "%s", o.Latency)
				assert.Equal(t, h.runsOf("1"), 0)
				assert.Equal(t, e.counter("requests_in_flight"), 0.0)
			})
		}
	}
}

// A caller that stops in the middle of a short body must be refused at its deadline.
func TestCallerStallsInShortBody(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		begin := time.Now()
		got := h.addEntry("e1").sendRaw("POST /svc/kioscos/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
		assert.Assert(t, strings.Contains(got, "Currantthread-Verdict: not-run"), got)
		assert.Assert(t, time.Since(begin) <= 11*time.Second)
	})
}

// A caller that is still sending its body when it is refused must receive the refusal instead of a connection reset.
func TestRefusalReachesSendingCaller(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		h.addEntry("e1")
		h.table.SetFaults(standin.TableFaults{Down: true})
		conn, err := h.network.Dial(t.Context(), "e1:80")
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /svc/kioscos/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 1000000\r\n\r\n")
		assert.NilError(t, err)
		for range 10 {
			_, err = conn.Write(make([]byte, 100_000))
			assert.NilError(t, err)
			time.Sleep(40 * time.Millisecond)
		}
		got, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 503 "), string(got))
	})
}

// Requests beyond the concurrency and queue limits must be refused with a Retry-After, and must not run.
func TestOverloadIsShed(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.configure(func(_ *settings.Effective, s *settings.Service) { s.Concurrency, s.Queue = 2, 2 })
		h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		var group sync.WaitGroup
		var mu sync.Mutex
		refused, answered := 0, 0
		for i := range 10 {
			group.Go(func() {
				id := fmt.Sprint(i)
				got := e.send(request{method: http.MethodPost, id: id})
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusOK {
					answered++
					return
				}
				refused++
				assert.Check(t, got.status == http.StatusTooManyRequests)
				assert.Check(t, got.code() == limit.CodeOverloaded)
				assert.Check(t, got.verdict() == verdict.NotRun)
				assert.Check(t, got.header.Get("Retry-After") != "")
				assert.Check(t, h.runsOf(id) == 0)
			})
		}
		group.Wait()
		assert.Assert(t, answered >= 3 && answered <= 4, "%d answered", answered)
		assert.Equal(t, answered+refused, 10)
	})
}

// An upstream that refuses a request as leaving must get no new ones, even while the VM list shows it as live (G8).
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		var mu sync.Mutex
		seen := 0
		h.addUpstream("u1", "r1", "d1", refusing("leaving", &seen, &mu))
		h.addUpstream("u2", "r1", "d1", nil)
		e := h.addEntry("e1")
		for i := range 60 {
			got := e.send(request{method: http.MethodPost, id: fmt.Sprint(i), body: "b"})
			assert.Equal(t, got.status, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, seen <= 1, "%d requests went to the leaving upstream", seen)
	})
}

// 3 s after the VM list shows an upstream as leaving, it must get no new requests (G8).
func TestListedLeavingUpstreamGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		h.addUpstream("u2", "r1", "d1", nil)
		late := false
		h.setHandler(func(_ http.ResponseWriter, r *http.Request) {
			h.mu.Lock()
			defer h.mu.Unlock()
			late = late || (r.Host == "late" && r.Context().Value(http.LocalAddrContextKey).(net.Addr).String() == "u1:80")
		})
		e := h.addEntry("e1")
		h.setVMs(func(vms []infra.VM) []infra.VM {
			vms[0].State = infra.VMLeaving
			return vms
		}, nil)
		time.Sleep(3 * time.Second)
		for range 40 {
			got := e.sendRaw("GET /svc/kioscos/x HTTP/1.1\r\nHost: late\r\nConnection: close\r\n\r\n")
			assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200"), got)
		}
		assert.Assert(t, !late)
	})
}

// Entry VMs together must not open more connections than an upstream accepts.
func TestConnectionShare(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		h.addUpstream("u1", "r1", "d1", nil)
		for i := range 8 {
			h.setVMs(func(vms []infra.VM) []infra.VM {
				return append(vms, infra.VM{ID: fmt.Sprintf("x%d", i), Role: infra.RoleEntry, State: infra.VMLive, Region: "r1"})
			}, nil)
		}
		e := h.addEntry("e1")
		time.Sleep(2 * time.Second)
		before := len(h.network.Conns())
		var group sync.WaitGroup
		for range 30 {
			group.Go(func() { e.send(request{}) })
		}
		group.Wait()
		// 64 connections are shared by 9 entry VMs. The 30 callers have one connection each.
		assert.Equal(t, len(h.network.Conns())-before-30, 7)
	})
}

// Bytes between regions are counted in both directions, and requests to other regions are refused when the budget is
// exhausted.
func TestRegionBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.configure(func(e *settings.Effective, _ *settings.Service) {
			e.Entry.InterRegionRate, e.Entry.InterRegionShare = 800_000, 50 // 50,000 bytes/s
		})
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 30_000)) })
		h.addUpstream("far", "r2", "d3", nil)
		e := h.addEntry("e1")
		send := func() reply { return e.send(request{method: http.MethodPost, body: strings.Repeat("b", 10_000)}) }
		assert.Equal(t, send().status, http.StatusOK)
		assert.Assert(t, e.counter("inter_region_bytes_total") > 40_000)
		assert.Assert(t, e.counter("inter_region_bytes_total") < 42_000)
		assert.Equal(t, send().status, http.StatusOK)
		got := send()
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.code(), verdict.Code("region-budget"))
		assert.Equal(t, got.verdict(), verdict.NotRun)
		time.Sleep(2 * time.Second)
		assert.Equal(t, send().status, http.StatusOK)
		h.addUpstream("near", "r1", "d2", nil)
		time.Sleep(2 * time.Second)
		for range 5 {
			assert.Equal(t, send().status, http.StatusOK)
		}
		assert.Assert(t, e.counter("inter_region_bytes_total") < 126_000)
	})
}

// While the VM list is unavailable, the upstreams of the last list stay in use, and failed reads are logged only once.
func TestLastVMListStaysInUse(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		h.setVMs(unchanged, errListUnavailable)
		time.Sleep(time.Minute)
		assert.Equal(t, e.send(request{}).status, http.StatusOK)
		h.setVMs(unchanged, nil)
		time.Sleep(time.Minute)
		assert.Equal(t, strings.Count(h.log.String(), "\n"), 2, h.log.String())
	})
}

// A change of the header size limit must apply to a running daemon.
func TestHeaderLimitFollowsSettings(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		e := h.addEntry("e1")
		large := request{header: http.Header{"X": {strings.Repeat("x", 100<<10)}}}
		assert.Equal(t, e.send(large).status, http.StatusRequestHeaderFieldsTooLarge)
		h.configure(func(s *settings.Effective, _ *settings.Service) { s.Entry.MaxHeaderBytes = 200 << 10 })
		assert.Equal(t, e.send(large).status, http.StatusOK)
	})
}

// A change of the settings must apply to a running daemon.
func TestSettingsChangeIsApplied(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.addUpstream("u1", "r1", "d1", nil)
		h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		e := h.addEntry("e1")
		assert.Equal(t, e.send(request{}).status, http.StatusOK)
		h.configure(func(_ *settings.Effective, s *settings.Service) {
			s.Timeout = settings.Duration(100 * time.Millisecond)
		})
		time.Sleep(2 * time.Second)
		got := e.send(request{method: http.MethodPost})
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Equal(t, got.verdict(), verdict.MayHaveRun)
	})
}

// A header that exceeds the limit without its end must be refused before net/http has read 1 MB of it, and one that never ends within a bounded
// time; both with a verdict.
func TestUnfinishedHeaderIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		e := h.addEntry("e1")
		for text, status := range map[string]string{
			"GET /svc/web/ HTTP/1.1\r\n" + strings.Repeat("X: x\r\n", 12_000): "431",
			"GET /svc/web/ HTTP/1.1\r\nHost: a\r\n":                           "408",
		} {
			got := e.sendRaw(text)
			assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 "+status+" "), "%s", got)
			assert.Assert(t, strings.Contains(got, verdict.Header+": "+verdict.NotRun.String()), "%s", got)
		}
	})
}
