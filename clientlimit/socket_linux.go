package clientlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer bound what the system buffers for a connection, in bytes; it doubles them. Bytes that nobody has read
	// count towards the memory of the VM.
	receiveBuffer = 16 << 10
	sendBuffer    = 16 << 10
)

// boundSocketBuffers bounds the buffers of the sockets that a listener will accept.
func boundSocketBuffers(listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// The system's own bounds apply if it refuses these.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
}
