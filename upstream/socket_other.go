//go:build !linux

package upstream

import "net"

// socketIdle always returns true, because there is no non-blocking check on this platform. A closed connection is
// detected when it is used.
func socketIdle(net.Conn) bool { return true }
