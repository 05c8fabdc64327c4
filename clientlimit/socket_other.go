//go:build !linux

package clientlimit

import "net"

// boundSocketBuffers does nothing: the system's own bounds apply.
func boundSocketBuffers(net.Listener) {}
