package untrusted

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// bodiesInARow is the number of bodies that a client sends on one connection without reading a response.
const bodiesInARow = 20

// sendBodiesInARow sends whole bodies one after another without waiting for responses. Each is decoded to its end and then refused.
func sendBodiesInARow(conn net.Conn, client int) error {
	const start, end = `{"spec":"`, `"}`
	body := start + strings.Repeat("s", bodyBytes-len(start)-len(end)) + end
	request := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", requestLine(client), len(body), body)
	for range bodiesInARow {
		if err := write(conn, request); err != nil {
			return err
		}
	}
	return nil
}

// TestBodiesInARow guards against bodies that are still held after their connection was closed for the budget.
func TestBodiesInARow(t *testing.T) {
	testMemory(t, kind{"large bodies within the limit, one after another, responses not read", sendBodiesInARow})
}
