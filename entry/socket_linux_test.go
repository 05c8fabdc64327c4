package entry

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/clientlimit"
)

// What the system buffers for a caller's connection must be bounded too: it counts towards the memory of the VM, and bytes that are sent ahead of
// a response stay there.
func TestSocketBuffersOfCallersAreBounded(t *testing.T) {
	const limit = 64 << 10
	s := testServer()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := s.CallerListener(inner)
	defer listener.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	conn, ok := callerConnOf(accepted.(*clientlimit.Conn))
	assert.Assert(t, ok)
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
		var size int
		var optionErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { size, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option) }))
		assert.NilError(t, optionErr)
		assert.Assert(t, size <= limit, "%d bytes", size)
	}
}
