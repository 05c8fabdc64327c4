package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// clients is the number of connections that each test keeps open at once.
	clients = 200
	// attempts bounds how often a client connects again after its connection was closed.
	attempts = 4
	// holdTime is how long a client keeps a connection open after its last byte.
	holdTime = 4 * time.Second
	// writeTimeout bounds a write to a process that does not read.
	writeTimeout = 5 * time.Second

	// headBytes is the size of a head within the limit, and hugeHeadBytes that of one far above it but within net/http's own limit.
	headBytes     = 16_000
	hugeHeadBytes = 900_000
	// endlessBytes is where a client that sends without end stops, so that the test ends.
	endlessBytes = 4 << 20
	bodyBytes    = 262_144
	// pieceBytes is the size of the pieces in which a body arrives.
	pieceBytes = 8 << 10
)

// kind is one kind of client: send writes to a new connection until it fails or everything is sent. start is the request line and the
// Host line of the client's request.
type kind struct {
	name string
	send func(conn net.Conn, client int, start string) error
}

var kinds = map[string]kind{
	"ShortLines":    {"requests within the limits with very many short header lines, unfinished", sendShortLines},
	"UnusualLines":  {"unusual header lines far over the limit", sendUnusualLines},
	"EndlessHead":   {"heads that never end", sendEndlessHead},
	"EmptyLines":    {"empty lines without end before a request", sendEmptyLines},
	"WholeBodies":   {"many large bodies within the limit, whole at once", sendWholeBody},
	"PartialBodies": {"many large bodies piece by piece, most stopping before their last byte", sendPartialBody},
}

// run lets all clients send, each again after its connection was closed, and returns once all have ended.
func (p *process) run(kinds ...kind) { p.runClients(clients, kinds...) }

// runClients is run with another number of clients.
func (p *process) runClients(count int, kinds ...kind) {
	var running sync.WaitGroup
	for client := range count {
		running.Go(func() {
			for range attempts {
				if !p.runClient(kinds[client%len(kinds)], client) {
					return
				}
			}
		})
	}
	running.Wait()
}

// runClient sends on one connection and keeps it open. It reports whether the connection was closed by the process.
func (p *process) runClient(k kind, client int) (closed bool) {
	conn, err := net.DialTimeout("tcp", p.clientAddr, writeTimeout)
	if err != nil {
		return true
	}
	defer conn.Close()
	if err := k.send(conn, client, p.requestStart(client)); err != nil {
		return true
	}
	_ = conn.SetReadDeadline(time.Now().Add(holdTime))
	_, err = io.Copy(io.Discard, conn)
	return err == nil
}

func write(conn net.Conn, data []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(data)
	return err
}

func requestLine(client int) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n", jobPathPrefix, client+100, queueHost)
}

// headerLines returns header lines with different names, of which a head with a request line has the given size. They are made once, because
// the race detector makes that slow.
func headerLines(size int, format string) func() []byte {
	return sync.OnceValue(func() []byte {
		var lines []byte
		for i := 0; ; i++ {
			line := fmt.Sprintf(format, i)
			if len(requestLine(0))+len(lines)+len(line) > size {
				return lines
			}
			lines = append(lines, line...)
		}
	})
}

var (
	shortLines   = headerLines(headBytes, "%x:\n")
	unusualLines = headerLines(hugeHeadBytes, "%x~!:\t\n")
)

func sendShortLines(conn net.Conn, client int, start string) error {
	return write(conn, append([]byte(start), shortLines()...))
}

func sendUnusualLines(conn net.Conn, client int, start string) error {
	return write(conn, append([]byte(start), unusualLines()...))
}

func sendEndlessHead(conn net.Conn, client int, start string) error {
	if err := write(conn, []byte(start)); err != nil {
		return err
	}
	line := []byte("x-a: " + strings.Repeat("y", 2000) + "\r\n")
	for sent := 0; sent < endlessBytes; sent += len(line) {
		if err := write(conn, line); err != nil {
			return err
		}
	}
	return nil
}

// sendEmptyLines sends empty lines after a request, where net/http skips some, or from the start of the connection (every fourth client).
func sendEmptyLines(conn net.Conn, client int, start string) error {
	if client%4 != 0 {
		// No queue has this host, so the response is 404 and the connection stays open.
		if err := write(conn, []byte("POST / HTTP/1.1\r\nHost: none.example\r\nContent-Length: 0\r\n\r\n\r\n")); err != nil {
			return err
		}
		// net/http waits for four bytes, of which the empty line is two.
		return nil
	}
	for sent := 0; sent < endlessBytes; sent += pieceBytes {
		if err := write(conn, bytes.Repeat([]byte("\r\n"), pieceBytes/2)); err != nil {
			return err
		}
	}
	return nil
}

// sendWholeBody sends a body that becomes one element for each three bytes.
func sendWholeBody(conn net.Conn, client int, start string) error {
	const prefix, suffix = `{"steps":[{}`, `]}`
	body := prefix + strings.Repeat(",{}", (bodyBytes-len(prefix)-len(suffix))/3) + suffix
	return write(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body))
}

// sendPartialBody sends a body in pieces. Each client but every tenth stops before the last byte.
func sendPartialBody(conn net.Conn, client int, start string) error {
	if err := write(conn, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", start, bodyBytes)); err != nil {
		return err
	}
	body := []byte(`{"spec":"` + strings.Repeat("s", bodyBytes-len(`{"spec":""}`)) + `"}`)
	if client%10 != 0 {
		body = body[:len(body)-1]
	}
	for len(body) > 0 {
		piece := body[:min(len(body), pieceBytes)]
		if err := write(conn, piece); err != nil {
			return err
		}
		body = body[len(piece):]
		time.Sleep(time.Millisecond) // the pieces arrive one by one
	}
	return nil
}

// The tests guard against clients whose connections cost far more memory than the bytes that they send.

func TestShortLines(t *testing.T) { testMemory(t, kinds["ShortLines"]) }

func TestUnusualLines(t *testing.T) { testMemory(t, kinds["UnusualLines"]) }

func TestEndlessHead(t *testing.T) { testMemory(t, kinds["EndlessHead"]) }

func TestWholeBodies(t *testing.T) { testMemory(t, kinds["WholeBodies"]) }

func TestPartialBodies(t *testing.T) { testMemory(t, kinds["PartialBodies"]) }

func testMemory(t *testing.T, k kind) {
	t.Helper()
	n := startNode(t, manyFDs, usualLimits)
	t.Log(k.name)
	n.run(k)
	n.check()
}

// TestEmptyLines guards against connections that stay open for ever after an empty line, and use up the descriptors.
func TestEmptyLines(t *testing.T) {
	n := startNode(t, fewFDs, usualLimits)
	n.run(kinds["EmptyLines"])
	n.check()
}

// TestAllKinds guards against a budget that covers each kind of client by itself but not all of them together.
func TestAllKinds(t *testing.T) {
	n := startNode(t, fewFDs, usualLimits)
	n.run(kinds["ShortLines"], kinds["UnusualLines"], kinds["EndlessHead"], kinds["EmptyLines"], kinds["WholeBodies"], kinds["PartialBodies"])
	n.check()
}

// TestConfiguredLimits guards against limits of the configuration that don't reach the listeners: requests at each limit are served without load, and
// larger ones refused. The defaults would serve the refused head.
func TestConfiguredLimits(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	for _, c := range []struct {
		addr, start      string
		headSize, length int
		status           string
	}{
		{n.clientAddr, requestLine(1), usualLimits.HeaderBytes, len(ordinaryJob), "200"},
		{n.clientAddr, requestLine(2), usualLimits.HeaderBytes + 1, len(ordinaryJob), "431"},
		{n.clientAddr, requestLine(3), 1000, bodyBytes, "200"},
		{n.clientAddr, requestLine(4), 1000, bodyBytes + 1, "413"},
		{n.readyAddr, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n", usualLimits.HeaderBytes, 0, "200"},
		{n.readyAddr, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n", usualLimits.HeaderBytes + 1, 0, "431"},
	} {
		head := c.start + fmt.Sprintf("Content-Length: %d\r\nx: ", c.length)
		head += strings.Repeat("x", c.headSize-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
		body := ""
		if c.length > 0 {
			body = ordinaryJob + strings.Repeat(" ", c.length-len(ordinaryJob))
		}
		conn, err := net.DialTimeout("tcp", c.addr, writeTimeout)
		assert.NilError(t, err)
		// A refused request may be closed before all of it is sent.
		go func() { _ = write(conn, []byte(head+body)) }()
		response := make([]byte, len("HTTP/1.1 200"))
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
		_, err = io.ReadFull(conn, response)
		assert.NilError(t, err)
		assert.Equal(t, string(response), "HTTP/1.1 "+c.status, "%q with %d and %d bytes", c.start, c.headSize, c.length)
		assert.NilError(t, conn.Close())
	}
}
