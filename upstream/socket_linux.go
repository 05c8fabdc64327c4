package upstream

import (
	"errors"
	"net"
	"syscall"
)

// socketQuiet looks at the socket without waiting. A closed connection, or bytes that no request asked for, make it
// false. Connections without a socket count as quiet.
func socketQuiet(netConn net.Conn) bool {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
