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

// testTimeout is long enough that only a test that waits for it sees it.
const testTimeout = 20 * time.Second

// rawServer answers the requests of each connection with reply until reply returns an empty string, and then closes the
// connection without an answer. It counts requests.
type rawServer struct {
	url string
	// closeAfter closes each connection after its first answer.
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

func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func oneWrite() infra.Txn {
	return infra.Txn{Writes: []infra.Write{{Key: "a", Value: []byte("1")}}}
}

// Guards against the Go transport sending a commit again by itself when a reused connection closes without an answer,
// which would apply a transaction twice.
func TestCommitIsSentOnceOnReusedConnection(t *testing.T) {
	server := newRawServer(t, false, func(n int64) string {
		if n == 1 {
			return httpAnswer(200, `{"version":1}`)
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

// Guards against a test above that passes only because the transport never repeats anything: a read is repeated.
func TestReadIsRepeatedOnReusedConnection(t *testing.T) {
	server := newRawServer(t, false, func(n int64) string {
		if n == 2 {
			return ""
		}
		return httpAnswer(200, `{"rows":[{"key":"a","version":1}]}`)
	})
	table := infra.NewTableClient(server.url, "chipre", testTimeout)
	for range 2 {
		_, err := table.Read(t.Context(), "a")
		assert.NilError(t, err)
	}
	assert.Equal(t, server.requests.Load(), int64(3))
}

// Guards against a redirect that sends a commit to a second place.
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

// Guards against an answer that does not settle a commit being taken for a success, a conflict or a refusal.
func TestCommitAnswers(t *testing.T) {
	cases := map[string]struct {
		answer string
		check  func(error) bool
	}{
		"applied":                  {httpAnswer(200, `{"version":7}`), func(err error) bool { return err == nil }},
		"conflict":                 {httpAnswer(409, `{"code":"conflict","conflicts":["a"]}`), infra.IsConflict},
		"stated refusal":           {httpAnswer(503, `{"code":"refused"}`), isUnavailable},
		"stated invalid":           {httpAnswer(400, `{"code":"invalid"}`), isUnavailable},
		"stated unknown":           {httpAnswer(500, `{"code":"unknown"}`), infra.IsUnknownOutcome},
		"status 503 alone":         {httpAnswer(503, ""), infra.IsUnknownOutcome},
		"status 404 alone":         {httpAnswer(404, "not here"), infra.IsUnknownOutcome},
		"status 409 alone":         {httpAnswer(409, `{}`), infra.IsUnknownOutcome},
		"conflict without keys":    {httpAnswer(409, `{"code":"conflict"}`), infra.IsUnknownOutcome},
		"success without version":  {httpAnswer(200, `{}`), infra.IsUnknownOutcome},
		"success that is not JSON": {httpAnswer(200, `ok`), infra.IsUnknownOutcome},
		"truncated refusal":        {"HTTP/1.1 503 Status\r\nContent-Length: 40\r\n\r\n{\"code\":\"refused\"}", infra.IsUnknownOutcome},
		"truncated header":         {"HTTP/1.1 200 OK\r\nContent-Le", infra.IsUnknownOutcome},
		"no answer":                {"", infra.IsUnknownOutcome},
		"answer to another request": {
			"HTTP/1.1 200 OK\r\nCurrantthread-Request-Id: other\r\nContent-Length: 13\r\n\r\n{\"version\":7}",
			infra.IsUnknownOutcome,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, true, func(int64) string { return c.answer })
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

// Guards against a refused connection being reported as an unknown outcome, and against a lost answer being reported as
// "nothing was written".
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

// Guards against a deadline that ends while the answer is outstanding being reported as "nothing was written".
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

// Guards against a poll that loses fields or the stale epoch on the wire, which would extend or cut a lease.
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

// Guards against an object that comes back changed or truncated, and against a wrong address read as "does not exist".
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

// Guards against a list that is sent again although it did not change, and against an old list that is kept after a change.
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
