package clientlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/memnet"
)

const (
	testAddr     = "10.0.0.1:80"
	maxBody      = 262_144
	holdPath     = "/hold"
	pausePath    = "/pause"
	largePath    = "/large"
	decodePath   = "/decode"
	largeBytes   = 1 << 20
	testHeader   = 16_384
	testIdle     = 15 * time.Second
	testHeadTime = 3 * time.Second
)

var testLimits = Limits{HeaderBytes: testHeader, HeaderTimeout: testHeadTime, IdleTimeout: testIdle}

// world is a server with a limiter on an in-memory network. Its handler reads the body of each request. It answers holdPath once release
// is closed, and largePath with largeBytes; for pausePath it waits between the first byte of the body and the rest. For decodePath it decodes the
// body until release is closed.
type world struct {
	t       *testing.T
	limiter *Limiter
	network *memnet.Network
	release chan struct{}
	// bodies counts the bytes of bodies that handlers hold, and ended the connections that net/http has closed.
	bodies, ended atomic.Int64
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := &world{t: t, limiter: New(prometheus.NewRegistry(), "test", logrus.NewEntry(log)), network: memnet.New(), release: make(chan struct{})}
		w.limiter.SetLimits(testLimits)
		server := &http.Server{Handler: http.HandlerFunc(w.serve)}
		w.limiter.Configure(server)
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				w.ended.Add(1)
			}
			ConnState(conn, state)
		}
		listener := w.limiter.Listener(w.network.Listen(testAddr))
		done := make(chan struct{})
		go func() {
			_ = server.Serve(listener) // returns when the server is closed
			close(done)
		}()
		defer func() {
			_ = server.Close()
			<-done
			w.network.CutAll()
			time.Sleep(time.Minute) // net/http closes some connections later
		}()
		test(w)
	})
}

// admit returns an accepted connection that no server serves, or nil if it was closed.
func (w *world) admit() *Conn {
	conn, _ := net.Pipe()
	return w.limiter.admit(conn)
}

// open returns the number of connections, and held what they hold together.
func (w *world) open() int {
	synctest.Wait()
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	return len(w.limiter.conns)
}

func (w *world) held() int64 {
	synctest.Wait()
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	return w.limiter.held
}

func (w *world) serve(response http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pausePath {
		_, _ = r.Body.Read(make([]byte, 1))
		<-w.release
	}
	body, err := ReadBody(r, maxBody)
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		response.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBodyTimeout):
		response.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, ErrBudget):
		response.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		response.WriteHeader(http.StatusBadRequest)
	default:
		w.bodies.Add(int64(body.Len()))
		defer w.bodies.Add(-int64(body.Len()))
		if r.URL.Path == decodePath {
			end, err := ConnOf(r.Context()).BeginDecode(r.Context(), body.Len())
			if err != nil {
				response.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer end()
			<-w.release
		}
		if r.URL.Path == holdPath {
			<-w.release
		}
		if r.URL.Path == largePath {
			_, _ = response.Write(make([]byte, largeBytes))
			return
		}
		_, _ = fmt.Fprint(response, body.Len())
	}
}

type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (w *world) dial() *client {
	w.t.Helper()
	conn, err := w.network.Dial(context.Background(), testAddr)
	assert.NilError(w.t, err)
	synctest.Wait()
	return &client{Conn: conn, t: w.t, reader: bufio.NewReader(conn)}
}

// send writes and waits until the server has processed it.
func (c *client) send(data string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, data)
	assert.NilError(c.t, err)
	synctest.Wait()
}

// expect reads a response with the given status, which the server must have sent already.
func (c *client) expect(status int) string {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode, status, "%s", body)
	synctest.Wait()
	return string(body)
}

// expectClosed fails unless the server has closed the connection without a further byte.
func (c *client) expectClosed() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, err := c.reader.Read(make([]byte, 1))
	assert.Equal(c.t, n, 0)
	assert.Assert(c.t, err != nil)
	var timeout net.Error
	assert.Assert(c.t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection is open")
}

// expectOpen sends a request on a connection that waits for one.
func (c *client) expectOpen() {
	c.t.Helper()
	c.send(get("/"))
	c.expect(http.StatusOK)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

// headOf returns a head with the given size.
func headOf(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: a\r\nx: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}
