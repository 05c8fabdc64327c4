package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/settings"
)

// A refusal for lack of memory must say when to return, as all refusals do that are worth a repeat.
func TestRefusalForMemoryHasRetryAfter(t *testing.T) {
	for status, expected := range map[string]bool{"503 Service Unavailable": true, "431 Request Header Fields Too Large": false} {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(testServer().refusal(status))), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.Status, status)
		assert.Equal(t, response.Header.Get("Retry-After") != "", expected, status)
	}
}

// testServer returns a server without upstreams.
func testServer() *Server {
	return New(Config{VM: "e1", Region: "r1", Domain: "d1", Settings: settings.Defaults, Registry: prometheus.NewRegistry(),
		Log: logrus.NewEntry(logrus.New())})
}

// What is kept of a streamed body must be charged too. Without memory for it the body is passed on, but can't be sent again.
func TestStreamedBodyIsCharged(t *testing.T) {
	const keepLimit, size = 64 << 10, 48 << 10
	for name, charged := range map[string]struct {
		err        error
		replayable bool
	}{"memory": {nil, true}, "no memory": {clientlimit.ErrBudget, false}} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("b", size))))
			assert.NilError(t, err)
			request.ContentLength = -1
			body := newCallBody(request, 1<<20, keepLimit)
			var bytes int64
			body.charge = func(n int64) error {
				bytes += n
				return charged.err
			}
			reader, err := body.open()
			assert.NilError(t, err)
			data, err := io.ReadAll(reader)
			assert.NilError(t, err)
			assert.Equal(t, len(data), size)
			assert.Equal(t, body.replayable(), charged.replayable)
			if charged.err == nil {
				assert.Equal(t, bytes, int64(size))
			}
		})
	}
}
