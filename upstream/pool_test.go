package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/internal/memnet"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Connections must be reused, and their number must not exceed the limit.
func TestConnectionsAreReusedAndLimited(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		var mu sync.Mutex
		inFlight, maxInFlight := 0, 0
		u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
			mu.Lock()
			inFlight++
			maxInFlight = max(maxInFlight, inFlight)
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			inFlight--
			mu.Unlock()
			return ok(w, r, body)
		}
		p := u.pool(upstream.Config{MaxConns: 3})
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				_, err := do(t.Context(), p, request(http.MethodPost, fmt.Sprint(i), "b"))
				assert.Check(t, err)
			})
		}
		group.Wait()
		assert.Equal(t, maxInFlight, 3)
		assert.Equal(t, len(u.network.Conns()), 3)
		assert.Equal(t, p.Open(), 3)
	})
}

// When the caller of a waiting request disconnects, the request must leave the queue and no connection slot may be
// lost.
func TestWaitEndsWithCaller(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
			time.Sleep(time.Second)
			return ok(w, r, body)
		}
		p := u.pool(upstream.Config{MaxConns: 1})
		go func() { _, _ = do(t.Context(), p, request(http.MethodGet, "1", "")) }()
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Do(ctx, request(http.MethodPost, "2", "b"))
		assert.Equal(t, code(err), upstream.CodeConnectionWait)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		_, err = do(t.Context(), p, request(http.MethodPost, "3", "b"))
		assert.NilError(t, err)
		assert.Equal(t, u.ran.Load(), int64(2))
	})
}

// The verdict must be "may have run" if any byte of the request was sent, and "not run" otherwise (G6).
func TestVerdictFollowsFirstByte(t *testing.T) {
	for _, cut := range []int64{1, 2, 40, 200} {
		bubble(t, func(t *testing.T, u *testUpstream) {
			u.network.OnDial(func(string) (memnet.Faults, error) { return memnet.Faults{CutUp: cut}, nil })
			_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", strings.Repeat("b", 100)))
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "cut after %d bytes: %v", cut, err)
		})
	}
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.network.OnDial(func(string) (memnet.Faults, error) { return memnet.Faults{}, errors.New("refused") })
		_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", "b"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Equal(t, code(err), upstream.CodeConnectFailed)
	})
}

// If a reused connection was closed before any byte was sent, the request must be sent on a new one.
func TestUnsentRequestMovesToNewConnection(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{})
		_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
		assert.NilError(t, err)
		u.network.CutAll()
		_, err = do(t.Context(), p, request(http.MethodPost, "2", "b"))
		assert.NilError(t, err)
		assert.Equal(t, u.ran.Load(), int64(2))
	})
}

// A non-idempotent request that fails on a reused connection after bytes were sent must not be retried, even if it has
// an Idempotency-Key, which allows http.Transport to retry it (G7).
func TestNoImplicitRetry(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{})
		_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
		assert.NilError(t, err)
		u.respond = func(io.Writer, *http.Request, []byte) bool { return false }
		req := request(http.MethodPost, "2", "b")
		req.Header.Set("Idempotency-Key", "k")
		_, err = do(t.Context(), p, req)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		assert.Equal(t, u.ran.Load(), int64(2))
		assert.Equal(t, len(u.network.Conns()), 1)
	})
}

// A response with the ID of another request must not reach the caller (G5).
func TestCrossedResponseIsRejected(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nCurrantthread-Request-Id: other\r\nContent-Length: 2\r\n\r\nno")
			return err == nil
		}
		p := u.pool(upstream.Config{})
		_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
		assert.Equal(t, code(err), upstream.CodeCrossedResponse)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		assert.Equal(t, p.Open(), 0)
	})
}

// A refusal with the ID of another request does not show that this request did not run (G6).
func TestCrossedRefusalIsIgnored(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(w, "HTTP/1.1 503 No\r\nCurrantthread-Request-Id: other\r\nCurrantthread-Refused: busy\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", "b"))
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	})
}

// A late response must not be taken for the response to the next request on the same connection (G5). The upstream
// sends no request ID, so the connection must not be reused.
func TestNoReuseAfterTimeoutOrCancellation(t *testing.T) {
	for _, how := range []string{"timeout", "cancellation"} {
		bubble(t, func(t *testing.T, u *testUpstream) {
			u.respond = func(w io.Writer, r *http.Request, _ []byte) bool {
				time.Sleep(200 * time.Millisecond)
				id := r.Header.Get(upstream.HeaderRequestID)
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
				return err == nil
			}
			p := u.pool(upstream.Config{MaxConns: 1})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if how == "cancellation" {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			defer cancel()
			_, err := p.Do(ctx, request(http.MethodGet, "1", ""))
			assert.Assert(t, err != nil)
			body, err := do(t.Context(), p, request(http.MethodGet, "2", ""))
			assert.NilError(t, err)
			assert.Equal(t, body, "2")
		})
	}
}

// A truncated response must return an error and close the connection (G5).
func TestTruncatedResponse(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		bubble(t, func(t *testing.T, u *testUpstream) {
			u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+head)
				return false
			}
			p := u.pool(upstream.Config{})
			_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
			assert.Equal(t, code(err), upstream.CodeTruncatedResponse)
			assert.Equal(t, verdict.Of(err), verdict.Ran)
			assert.Equal(t, p.Open(), 0)
		})
	}
}

// A response with conflicting lengths must be rejected, because clients could read different parts of it.
func TestConflictingLengthsInResponse(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc")
			return err == nil
		}
		_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", "b"))
		assert.Equal(t, code(err), upstream.CodeMalformedResponse)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	})
}

// A response header that never ends must be rejected, or it would use unbounded memory.
func TestEndlessResponseHeader(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n")
			for {
				if _, err := io.WriteString(w, "A: "+strings.Repeat("a", 1000)+"\r\n"); err != nil {
					return false
				}
			}
		}
		_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", "b"))
		assert.Equal(t, code(err), upstream.CodeMalformedResponse)
	})
}

// A non-idempotent request must not use a connection that was idle for long, because it may have become silent.
func TestIdleConnectionIsReplacedForNonIdempotent(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{IdleCheck: 2 * time.Second})
		_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
		assert.NilError(t, err)
		u.network.Conns()[0].Silence()
		time.Sleep(2100 * time.Millisecond)
		_, err = do(t.Context(), p, request(http.MethodPost, "2", "b"))
		assert.NilError(t, err)
		assert.Equal(t, u.count(upstream.EventReplaced), 1)
	})
}

// An idempotent request on a silent connection must be retried on a new one before its deadline, and one silent
// connection must not mark the upstream as failed.
func TestSilentConnectionIsRetriedOnNewOne(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{})
		for i := range 3 {
			_, err := do(t.Context(), p, request(http.MethodGet, fmt.Sprint(i), ""))
			assert.NilError(t, err)
		}
		for _, c := range u.network.Conns() {
			c.Silence()
		}
		begin := time.Now()
		_, err := do(t.Context(), p, request(http.MethodGet, "4", ""))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begin) <= time.Second)
		assert.Equal(t, u.count(upstream.EventSilent), 1)
		assert.Assert(t, !p.Failed())
	})
}

// An upstream on which two connections in a row are silent must count as failed.
func TestTwoFailedConnectionsMarkUpstreamFailed(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{})
		_, err := do(t.Context(), p, request(http.MethodGet, "1", ""))
		assert.NilError(t, err)
		u.network.OnDial(func(string) (memnet.Faults, error) { return memnet.Faults{Silent: true}, nil })
		u.network.Conns()[0].Silence()
		_, err = do(t.Context(), p, request(http.MethodGet, "2", ""))
		assert.Equal(t, code(err), upstream.CodeTimeout)
		assert.Assert(t, p.Failed())
	})
}

// If bytes were sent in the first attempt and the second one can't connect, the verdict must be "may have run" (G6).
func TestVerdictCoversAllAttempts(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{})
		_, err := do(t.Context(), p, request(http.MethodGet, "1", ""))
		assert.NilError(t, err)
		u.respond = func(io.Writer, *http.Request, []byte) bool { return false }
		u.network.OnDial(func(string) (memnet.Faults, error) { return memnet.Faults{}, errors.New("refused") })
		_, err = do(t.Context(), p, request(http.MethodGet, "2", ""))
		assert.Equal(t, code(err), upstream.CodeConnectFailed)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	})
}

// Without retry budget a request on a lost connection must not be retried, and one lost connection must not mark the
// upstream as failed.
func TestRetryNeedsBudget(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		p := u.pool(upstream.Config{MayRetry: func() bool { return false }})
		_, err := do(t.Context(), p, request(http.MethodGet, "1", ""))
		assert.NilError(t, err)
		u.respond = func(io.Writer, *http.Request, []byte) bool { return false }
		_, err = do(t.Context(), p, request(http.MethodGet, "2", ""))
		assert.Equal(t, code(err), upstream.CodeConnectionLost)
		assert.Equal(t, u.ran.Load(), int64(2))
		assert.Assert(t, !p.Failed())
	})
}

// When its caller disconnects, a non-idempotent request must run to the end if bytes were sent, and must not be sent
// otherwise.
func TestCancellationOfNonIdempotent(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
			time.Sleep(time.Second)
			return ok(w, r, body)
		}
		p := u.pool(upstream.Config{MaxConns: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		time.AfterFunc(100*time.Millisecond, cancel)
		resp, err := p.Do(ctx, request(http.MethodPost, "1", "b"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		_, err = p.Do(ctx, request(http.MethodPost, "2", "b"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Equal(t, u.ran.Load(), int64(1))
	})
}

// A non-idempotent request must end at its deadline.
func TestDeadlineOfNonIdempotent(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
			time.Sleep(time.Minute)
			return false
		}
		begin := time.Now()
		_, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodPost, "1", "b"))
		assert.Equal(t, code(err), upstream.CodeTimeout)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		assert.Equal(t, time.Since(begin), 10*time.Second)
	})
}

// A 503 response is a refusal only if its Currantthread-Refused header has a known value.
func TestRefusals(t *testing.T) {
	for header, want := range map[string]verdict.Code{
		"Currantthread-Refused: busy\r\nCurrantthread-Load: inflight=8,slots=8,queue=3\r\n": upstream.CodeBusy,
		"Currantthread-Refused: leaving\r\n":                                                upstream.CodeLeaving,
		"Currantthread-Refused: maybe\r\n":                                                  "",
		"":                                                                                  "",
	} {
		bubble(t, func(t *testing.T, u *testUpstream) {
			u.respond = func(w io.Writer, r *http.Request, _ []byte) bool {
				_, err := fmt.Fprintf(w, "HTTP/1.1 503 No\r\n%sContent-Length: 2\r\n\r\nno", header)
				return err == nil
			}
			p := u.pool(upstream.Config{})
			_, err := do(t.Context(), p, request(http.MethodPost, "1", "b"))
			assert.Equal(t, code(err), want)
			assert.Equal(t, p.Open(), 1)
			var refusal *upstream.Refusal
			if want == upstream.CodeBusy {
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Load, upstream.Load{InFlight: 8, Slots: 8, Queue: 3, Valid: true})
			}
		})
	}
}

// All kinds of framing must be read correctly: 1xx before the response, no body with 204, 304 and HEAD, chunks,
// trailers, and bodies that end with the connection.
func TestPlainResponses(t *testing.T) {
	for name, c := range map[string]struct{ method, raw, body string }{
		"1xx":     {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"204":     {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		"304":     {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
		"head":    {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", ""},
		"chunked": {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, u *testUpstream) {
				u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
					_, err := io.WriteString(w, c.raw)
					return err == nil
				}
				p := u.pool(upstream.Config{})
				for range 2 {
					body, err := do(t.Context(), p, request(c.method, "1", ""))
					assert.NilError(t, err)
					assert.Equal(t, body, c.body)
				}
				assert.Equal(t, len(u.network.Conns()), 1)
			})
		})
	}
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(w, "HTTP/1.0 200 OK\r\n\r\nuntil the end")
			return false
		}
		body, err := do(t.Context(), u.pool(upstream.Config{}), request(http.MethodGet, "1", ""))
		assert.NilError(t, err)
		assert.Equal(t, body, "until the end")
	})
}

// Unexpected bytes after a response must not be taken for the next response (G5).
func TestStrayBytesCloseConnection(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
			response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.Header.Get(upstream.HeaderRequestID)
			_, err := io.WriteString(w, response+response)
			return err == nil
		}
		p := u.pool(upstream.Config{})
		for _, id := range []string{"1", "2"} {
			body, err := do(t.Context(), p, request(http.MethodGet, id, ""))
			assert.NilError(t, err)
			assert.Equal(t, body, id)
		}
	})
}

// blockingBody is a body that blocks after the first piece until it is stopped.
type blockingBody struct {
	piece   string
	stopped chan struct{}
	once    sync.Once
}

func (b *blockingBody) Read(buf []byte) (int, error) {
	if b.piece != "" {
		n := copy(buf, b.piece)
		b.piece = b.piece[n:]
		return n, nil
	}
	<-b.stopped
	return 0, errors.New("stopped")
}

func (b *blockingBody) Close() error { return nil }

func (b *blockingBody) stop() { b.once.Do(func() { close(b.stopped) }) }

// The upstream must receive each piece of a streamed body before the next one is available, and may respond before the
// end of the body. The reader of the body must have stopped when the exchange ends.
func TestStreamingBothWays(t *testing.T) {
	bubble(t, func(t *testing.T, u *testUpstream) {
		received := make(chan string, 1)
		listener := u.network.Listen("10.0.0.2:80")
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			var all string
			for !strings.Contains(all, "piece") {
				n, err := conn.Read(buf)
				if err != nil {
					return
				}
				all += string(buf[:n])
			}
			received <- all
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		}()
		body := &blockingBody{piece: "piece", stopped: make(chan struct{})}
		req := request(http.MethodPost, "1", "")
		req.ContentLength = -1
		req.Body = func() (io.ReadCloser, error) { return body, nil }
		req.StopBody = body.stop
		p := upstream.NewPool("10.0.0.2:80", u.network.Dial, upstream.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		begin := time.Now()
		resp, err := p.Do(ctx, req)
		assert.NilError(t, err)
		assert.Assert(t, resp.RequestIncomplete)
		assert.Assert(t, strings.Contains(<-received, "piece"))
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), time.Duration(0))
		assert.Equal(t, p.Open(), 0)
		synctest.Wait()
		select {
		case <-body.stopped:
		default:
			t.Error("the reader of the body was not stopped")
		}
	})
}

// A body that is shorter than declared must not reach the upstream as complete, and the verdict must depend on whether
// bytes were sent.
func TestShortRequestBody(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		bubble(t, func(t *testing.T, u *testUpstream) {
			req := request(http.MethodPost, "1", "abc")
			req.ContentLength = 10
			want := verdict.NotRun
			if streamed {
				req.StopBody = func() {}
				want = verdict.MayHaveRun
			}
			p := u.pool(upstream.Config{})
			_, err := do(t.Context(), p, req)
			assert.Equal(t, code(err), upstream.CodeRequestBody)
			assert.Equal(t, verdict.Of(err), want)
			assert.Equal(t, u.ran.Load(), int64(0))
			assert.Equal(t, p.Open(), 0)
		})
	}
}

// Wherever connections break, a request with the verdict "not run" must not have run, one with "ran" must have run, and
// a non-idempotent request must reach the upstream at most once (G6, G7).
func TestVerdictIsTrueForAnyBrokenConnection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble(t, func(t *testing.T, u *testUpstream) { checkVerdicts(t, rt, u) })
	})
}

func checkVerdicts(t *testing.T, rt *rapid.T, u *testUpstream) {
	var mu sync.Mutex
	runs := map[string]int{}
	u.respond = func(w io.Writer, r *http.Request, body []byte) bool {
		mu.Lock()
		runs[r.Header.Get(upstream.HeaderRequestID)]++
		mu.Unlock()
		return ok(w, r, body)
	}
	u.network.OnDial(func(string) (memnet.Faults, error) {
		if rapid.IntRange(0, 5).Draw(rt, "refused") == 0 {
			return memnet.Faults{}, errors.New("refused")
		}
		return memnet.Faults{
			CutUp:           rapid.Int64Range(0, 700).Draw(rt, "cut up"),
			CutDown:         rapid.Int64Range(0, 300).Draw(rt, "cut down"),
			AcceptBeyondCut: rapid.Bool().Draw(rt, "accept"),
			Silent:          rapid.IntRange(0, 9).Draw(rt, "silent") == 0,
		}, nil
	})
	p := u.pool(upstream.Config{MaxConns: 2})
	for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
		id := fmt.Sprintf("r%d", i)
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodPut}).Draw(rt, "method")
		req := request(method, id, strings.Repeat("b", rapid.IntRange(0, 200).Draw(rt, "body")))
		body, err := do(t.Context(), p, req)
		synctest.Wait()
		mu.Lock()
		n := runs[id]
		mu.Unlock()
		if !req.Idempotent && n > 1 {
			rt.Fatalf("%s %s ran %d times", method, id, n)
		}
		switch verdict.Of(err) {
		case verdict.NotRun:
			if n > 0 {
				rt.Fatalf("%s %s ran and was reported as not run: %v", method, id, err)
			}
		case verdict.Ran:
			if n == 0 || (err == nil && body != "ok") {
				rt.Fatalf("%s %s: %d runs, response %q, %v", method, id, n, body, err)
			}
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
	}
}
