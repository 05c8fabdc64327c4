package infra

import (
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that was reported as "not sent" and that the transport's writer sends afterwards.
func TestNothingSentMeansNothingWillBeSent(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	conn := &guardedConn{Conn: near, written: true}
	var sent sendRecord
	sent.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, sent.nothing())
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)

	sent.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, !sent.nothing(), "a connection without a record may have carried the request")
}
