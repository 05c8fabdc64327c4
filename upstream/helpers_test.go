package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantthread/currantthread/internal/memnet"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

const addr = "10.0.0.1:80"

// testUpstream is an upstream with scripted responses that are written as raw HTTP/1.1.
type testUpstream struct {
	network *memnet.Network
	// respond writes the response to a request; false closes the connection.
	respond func(w io.Writer, r *http.Request, body []byte) bool
	ran     atomic.Int64 // number of requests received completely
	mu      sync.Mutex
	events  map[upstream.Event]int
}

// ok responds with the request's ID in the header, as upstreams of this system do.
func ok(w io.Writer, r *http.Request, _ []byte) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCurrantthread-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get(upstream.HeaderRequestID))
	return err == nil
}

// bubble runs a test in virtual time with a testUpstream, and closes all connections after it.
func bubble(t *testing.T, test func(t *testing.T, u *testUpstream)) {
	synctest.Test(t, func(t *testing.T) {
		u := &testUpstream{network: memnet.New(), respond: ok, events: map[upstream.Event]int{}}
		listener := u.network.Listen(addr)
		go u.serve(listener)
		// Lets scripted responses that still sleep return.
		defer time.Sleep(10 * time.Minute)
		defer u.network.CutAll()
		defer listener.Close()
		test(t, u)
	})
}

func (u *testUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *testUpstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.ran.Add(1)
		if !u.respond(conn, r, body) {
			return
		}
	}
}

func (u *testUpstream) pool(cfg upstream.Config) *upstream.Pool {
	cfg.OnEvent = func(event upstream.Event) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.events[event]++
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 4
	}
	return upstream.NewPool(addr, u.network.Dial, cfg)
}

func (u *testUpstream) count(event upstream.Event) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.events[event]
}

func request(method, id, body string) *upstream.Request {
	req := &upstream.Request{ID: id, Method: method, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	if body != "" {
		req.ContentLength = int64(len(body))
		req.Body = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(body)), nil }
	}
	req.Idempotent = method == http.MethodGet || method == http.MethodPut
	return req
}

// do sends a request with a timeout of 10 s and returns the response's body and the first error.
func do(ctx context.Context, p *upstream.Pool, req *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func code(err error) verdict.Code {
	var target *verdict.Error
	if !errors.As(err, &target) {
		return ""
	}
	return target.Code
}
