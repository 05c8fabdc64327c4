package infra

import (
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// After a request was reported as not sent, the transport's writer must not be able to send it.
func TestUnsentRequestIsNotSentLater(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	conn := &guardedConn{Conn: near, written: true}
	var sent sendRecord
	sent.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, sent.sealUnsent())
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)

	sent.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, !sent.sealUnsent(), "a connection without a record may have carried the request")
}
