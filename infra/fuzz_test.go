package infra_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
)

// The poll handler must not panic on any body, and rejects polls without a worker, an incarnation or a cell.
func FuzzPollHandler(f *testing.F) {
	f.Add(`{"worker":"w","incarnation":"i","cell":"c","epoch":1,"hold_ms":1000,"reports":[{"seq":1}]}`)
	f.Add(`{"worker":"","hold_ms":-1}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		backend := &pollServer{}
		handler := infra.NewPollHandler(backend)
		res := httptest.NewRecorder()
		handler.ServeHTTP(res, httptest.NewRequest(http.MethodPost, infra.PathPoll, strings.NewReader(body)))
		if res.Code == http.StatusOK {
			assert.Assert(t, backend.got.Worker != "" && backend.got.Incarnation != "" && backend.got.Cell != "")
			return
		}
		assert.Equal(t, res.Code, http.StatusBadRequest)
	})
}

// fixedResponse is a handler that sends the same response to every request.
type fixedResponse struct {
	status int
	body   string
}

func (h fixedResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(h.status)
	_, _ = io.WriteString(w, h.body)
}

// The outcome of a commit is known only if the response states it: success needs a version above 0, a conflict needs keys,
// and everything else but an explicit refusal leaves the outcome unknown.
func FuzzCommitAnswer(f *testing.F) {
	f.Add(200, `{"version":1}`)
	f.Add(409, `{"code":"conflict","conflicts":["a"]}`)
	f.Add(503, `{"code":"refused"}`)
	f.Add(500, `{"code":`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || status == 204 || status == 304 {
			return
		}
		server := httptest.NewServer(fixedResponse{status, body})
		defer server.Close()
		version, err := infra.NewTableClient(server.URL, "chipre", testTimeout).Commit(context.Background(), oneWrite())
		switch {
		case err == nil:
			assert.Assert(t, status == 200 && version > 0)
		case infra.IsConflict(err):
			assert.Assert(t, strings.Contains(strings.ToLower(body), "conflicts"), body)
		case !infra.IsUnknownOutcome(err):
			assert.Assert(t, isUnavailable(err), "%v", err)
		}
	})
}
