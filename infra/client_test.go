package infra_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
)

// testTimeout is so long that a test only reaches it if it hangs.
const testTimeout = 20 * time.Second

// rawServer sends the text that reply returns as the raw response to each request. If reply returns an empty string, it
// closes the connection without a response. It counts requests.
type rawServer struct {
	url string
	// closeAfter closes each connection after its first response.
	closeAfter bool
	requests   atomic.Int64
}

func newRawServer(t *testing.T, closeAfter bool, reply func(n int64) string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &rawServer{url: "http://" + listener.Addr().String(), closeAfter: closeAfter}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn, reply)
		}
	}()
	return server
}

func (s *rawServer) serve(conn net.Conn, reply func(n int64) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text := reply(s.requests.Add(1))
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || s.closeAfter {
			return
		}
	}
}

func httpResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func oneWrite() infra.Txn {
	return infra.Txn{Writes: []infra.Write{{Key: "a", Value: []byte("1")}}}
}

// The HTTP transport must not resend a commit on its own when a reused connection closes without a response, because the
// transaction would be applied twice.
func TestCommitIsSentOnceOnReusedConnection(t *testing.T) {
	server := newRawServer(t, false, func(n int64) string {
		if n == 1 {
			return httpResponse(200, `{"version":1}`)
		}
		return ""
	})
	table := infra.NewTableClient(server.url, "chipre", testTimeout)
	_, err := table.Commit(t.Context(), oneWrite())
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), oneWrite())
	assert.Assert(t, infra.IsUnknownOutcome(err), "%v", err)
	assert.Equal(t, server.requests.Load(), int64(2))
}

// The HTTP transport resends a read on a reused connection. This shows that the test above does not pass merely because
// the transport never resends anything.
func TestReadIsRepeatedOnReusedConnection(t *testing.T) {
	server := newRawServer(t, false, func(n int64) string {
		if n == 2 {
			return ""
		}
		return httpResponse(200, `{"rows":[{"key":"a","version":1}]}`)
	})
	table := infra.NewTableClient(server.url, "chipre", testTimeout)
	for range 2 {
		_, err := table.Read(t.Context(), "a")
		assert.NilError(t, err)
	}
	assert.Equal(t, server.requests.Load(), int64(3))
}

// A redirect must not send a commit a second time.
func TestCommitFollowsNoRedirect(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	_, err := infra.NewTableClient(server.URL, "chipre", testTimeout).Commit(t.Context(), oneWrite())
	assert.Assert(t, infra.IsUnknownOutcome(err), "%v", err)
	assert.Equal(t, requests.Load(), int64(1))
}

// A response that leaves the outcome of a commit open must not be classified as a success, a conflict or a refusal.
func TestCommitResponses(t *testing.T) {
	cases := map[string]struct {
		response string
		check    func(error) bool
	}{
		"applied":                  {httpResponse(200, `{"version":7}`), func(err error) bool { return err == nil }},
		"conflict":                 {httpResponse(409, `{"code":"conflict","conflicts":["a"]}`), infra.IsConflict},
		"explicit refusal":         {httpResponse(503, `{"code":"refused"}`), isUnavailable},
		"explicit invalid":         {httpResponse(400, `{"code":"invalid"}`), isUnavailable},
		"explicit unknown":         {httpResponse(500, `{"code":"unknown"}`), infra.IsUnknownOutcome},
		"status 503 alone":         {httpResponse(503, ""), infra.IsUnknownOutcome},
		"status 404 alone":         {httpResponse(404, "not here"), infra.IsUnknownOutcome},
		"status 409 alone":         {httpResponse(409, `{}`), infra.IsUnknownOutcome},
		"conflict without keys":    {httpResponse(409, `{"code":"conflict"}`), infra.IsUnknownOutcome},
		"success without version":  {httpResponse(200, `{}`), infra.IsUnknownOutcome},
		"success that is not JSON": {httpResponse(200, `ok`), infra.IsUnknownOutcome},
		"truncated refusal":        {"HTTP/1.1 503 Status\r\nContent-Length: 40\r\n\r\n{\"code\":\"refused\"}", infra.IsUnknownOutcome},
		"truncated header":         {"HTTP/1.1 200 OK\r\nContent-Le", infra.IsUnknownOutcome},
		"no response":              {"", infra.IsUnknownOutcome},
		"response to another request": {
			"HTTP/1.1 200 OK\r\nCurrantthread-Request-Id: other\r\nContent-Length: 13\r\n\r\n{\"version\":7}",
			infra.IsUnknownOutcome,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, true, func(int64) string { return c.response })
			table := infra.NewTableClient(server.url, "chipre", testTimeout)
			_, err := table.Commit(t.Context(), oneWrite())
			assert.Assert(t, c.check(err), "%v", err)
			assert.Equal(t, server.requests.Load(), int64(1))
		})
	}
}

func isUnavailable(err error) bool {
	var target *infra.UnavailableError
	return errors.As(err, &target)
}

// A refused connection and a context that ended before the request are reported as unavailable rather than as an unknown
// outcome, because nothing was sent.
func TestCommitWithoutServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = infra.NewTableClient(url, "chipre", testTimeout).Commit(t.Context(), oneWrite())
	assert.Assert(t, isUnavailable(err), "%v", err)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = infra.NewTableClient(url, "chipre", testTimeout).Commit(ctx, oneWrite())
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// A context that ends while the response is outstanding leaves the outcome of a commit unknown.
func TestCommitDeadlineAfterSend(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	_, err := infra.NewTableClient(server.URL, "chipre", testTimeout).Commit(ctx, oneWrite())
	assert.Assert(t, infra.IsUnknownOutcome(err), "%v", err)
}

type pollServer struct {
	got infra.PollRequest
	err error
}

func (s *pollServer) Poll(_ context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	s.got = req
	return infra.PollResponse{LeaseMillis: 10_000, StartPermitMillis: 2_000, AckSeq: 3}, s.err
}

// The fields of a poll, its response and a stale-epoch error survive the transport. Losing one would extend or shorten a
// lease.
func TestPollRoundTrip(t *testing.T) {
	backend := &pollServer{}
	var domain string
	handler := infra.NewPollHandler(backend)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		domain = r.Header.Get(infra.HeaderDomain)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	poll := infra.NewPollClient("la-enea", testTimeout)
	req := infra.PollRequest{
		Worker: "w1", Incarnation: "i1", Cell: "la-enea-0", Epoch: 4, HoldMillis: 1000,
		Reports: []infra.Report{{Seq: 1, Ref: infra.AttemptRef{Task: "j/0", Attempt: 2}, State: infra.RunStopped}},
	}
	res, err := poll.Poll(t.Context(), server.URL, req)
	assert.NilError(t, err)
	assert.Equal(t, res.LeaseMillis, int64(10_000))
	assert.DeepEqual(t, backend.got, req)
	assert.Equal(t, domain, "la-enea")

	backend.err = &infra.StaleEpochError{Cell: "la-enea-0", Got: 4, Want: 5}
	_, err = poll.Poll(t.Context(), server.URL, req)
	var stale *infra.StaleEpochError
	assert.Assert(t, errors.As(err, &stale), "%v", err)
	assert.Equal(t, *stale, infra.StaleEpochError{Cell: "la-enea-0", Got: 4, Want: 5})

	req.Worker = ""
	_, err = poll.Poll(t.Context(), server.URL, req)
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// Objects come back unchanged, and a wrong base URL is not reported as a missing object.
func TestObjects(t *testing.T) {
	stored := map[string][]byte{}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+infra.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		stored[r.URL.Path] = data
	})
	mux.HandleFunc("GET "+infra.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		data, found := stored[r.URL.Path]
		if !found {
			infra.WriteError(w, r, http.StatusNotFound, infra.ErrorBody{Code: infra.CodeNotFound})
			return
		}
		_, _ = w.Write(data)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	objects := infra.NewObjectsClient(server.URL+"/", "chipre", testTimeout)
	for _, data := range [][]byte{nil, []byte("x\x00y")} {
		assert.NilError(t, objects.Put(t.Context(), "settings/7 a", data))
		got, err := objects.Get(t.Context(), "settings/7 a")
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(data))
	}
	_, err := objects.Get(t.Context(), "missing")
	assert.ErrorIs(t, err, infra.ErrNotFound)

	elsewhere := infra.NewObjectsClient(server.URL+"/elsewhere", "chipre", testTimeout)
	_, err = elsewhere.Get(t.Context(), "missing")
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// The VM list is sent again only if it has changed, and a changed list replaces the cached one.
func TestVMListIsReadConditionally(t *testing.T) {
	list := []infra.VM{{ID: "v1", Role: infra.RoleWorker}}
	bodies := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		etag := `"` + list[0].ID + `"`
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodies++
		infra.WriteMessage(w, r, infra.VMsResponse{VMs: list})
	}))
	defer server.Close()
	client := infra.NewVMListClient(server.URL, "chipre", time.Minute)
	for _, id := range []string{"v1", "v1", "v2", "v2"} {
		list = []infra.VM{{ID: id, Role: infra.RoleWorker}}
		vms, err := client.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, vms[0].ID, id)
	}
	assert.Equal(t, bodies, 2)
}
