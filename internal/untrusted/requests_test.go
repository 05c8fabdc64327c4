package untrusted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// bodiesInARow is the number of bodies that a client sends on one connection without reading a response.
	bodiesInARow = 20
	// smallChunks is the number of chunks of one byte, and extensionBytes the size of the extension of each.
	smallChunks    = 20_000
	extensionBytes = 8
	// overlongBytes is the size of a head that is a little over the limit.
	overlongBytes = 17_000
	// overlongClients is the number of clients that send such a head, one after another every overlongInterval.
	overlongClients  = 600
	overlongInterval = 2 * time.Millisecond
	// malformedJobs is the number of malformed jobs that the clients send together, and maxLogLines bounds the lines that the process logs for them.
	malformedJobs = 3000
	maxLogLines   = 100
)

var overlongHead = headerLines(overlongBytes, "%x:\n")

// sendBodiesInARow sends whole bodies one after another without waiting for responses. Each is decoded to its end and then refused.
func sendBodiesInARow(conn net.Conn, client int, start string) error {
	const prefix, suffix = `{"spec":"`, `"}`
	body := prefix + strings.Repeat("s", bodyBytes-len(prefix)-len(suffix)) + suffix
	request := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
	for range bodiesInARow {
		if err := write(conn, request); err != nil {
			return err
		}
	}
	return nil
}

// sendOverlongHead sends a head of many short lines that is refused, and keeps the connection open whatever the process does.
func sendOverlongHead(conn net.Conn, client int, start string) error {
	time.Sleep(time.Duration(client) * overlongInterval)
	if err := write(conn, append([]byte(start), overlongHead()...)); err != nil {
		return err
	}
	time.Sleep(holdTime)
	return nil
}

// chunkedStart is the start of a request whose body comes in chunks.
func chunkedStart(start string) []byte { return []byte(start + "Transfer-Encoding: chunked\r\n\r\n") }

// sendSmallChunks sends a body in chunks of one byte, each with an extension that is as long as net/http allows, and stops before the end.
func sendSmallChunks(conn net.Conn, _ int, start string) error {
	chunk := "1;" + strings.Repeat("e", extensionBytes) + "\r\ns\r\n"
	return write(conn, append(chunkedStart(start), strings.Repeat(chunk, smallChunks)...))
}

// sendEndlessTrailer sends header lines after the last chunk of a body.
func sendEndlessTrailer(conn net.Conn, _ int, start string) error {
	if err := write(conn, append(chunkedStart(start), "0\r\n"...)); err != nil {
		return err
	}
	for range endlessBytes / headBytes {
		if err := write(conn, shortLines()); err != nil {
			return err
		}
	}
	return nil
}

// TestBodiesInARow guards against bodies that are still held after their connection was closed for the budget.
func TestBodiesInARow(t *testing.T) {
	testMemory(t, kind{"large bodies within the limit, one after another, responses not read", sendBodiesInARow})
}

// TestChunkedBodies guards against chunks, extensions and trailers that take more memory than the bytes of the body.
func TestChunkedBodies(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	n.run(kind{"chunks of one byte", sendSmallChunks}, kind{"endless trailers", sendEndlessTrailer})
	n.check()
}

// TestOverlongHeads guards against heads that are still held while the rest of a refused request is discarded.
func TestOverlongHeads(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	n.runClients(overlongClients, kind{"heads of many short lines a little over the limit", sendOverlongHead})
	n.check()
}

// TestMalformedJobs guards against a log that grows with each request of a client.
func TestMalformedJobs(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	const body = `{"steps":1}`
	before := n.logLines()
	for i := range malformedJobs {
		response, err := http.DefaultClient.Do(n.submission(fmt.Sprintf("%016x", i), body))
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body) // the connection is used again
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	}
	n.check()
	if lines := n.logLines() - before; lines > maxLogLines {
		t.Errorf("the process has logged %d lines, at most %d are allowed", lines, maxLogLines)
	}
}
