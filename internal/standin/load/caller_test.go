package load

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that was sent must not count as NotSent: the Go client resends a GET by itself when a reused connection fails, and
// the second connection may be refused. In a run with 500 callers this was counted as a false refusal.
func TestResentGetIsNotCountedAsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		// The server dies with the second request in flight.
		_ = listener.Close()
	}()
	c := &caller{rng: rand.New(rand.NewPCG(1, 1)), client: newClient(1), recordLatency: func(time.Duration) {}}
	c.targets = []*target{{base: "http://" + listener.Addr().String()}}
	r := request{method: http.MethodGet, path: "/"}
	check := func(io.Reader) (string, string) { return "", "" }
	assert.Equal(t, c.send(r, check).Outcome, Answered)
	assert.Equal(t, c.send(r, check).Outcome, NoResponse)
	assert.Equal(t, c.send(r, check).Outcome, NotSent)
}
