package upstream

import (
	"errors"
	"net"
	"syscall"
)

// socketIdle reports whether the connection is open and has no unread bytes. It checks the socket without blocking.
// Connections without a socket count as idle.
func socketIdle(netConn net.Conn) bool {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
