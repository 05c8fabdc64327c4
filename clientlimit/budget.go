package clientlimit

import "time"

const (
	// connCost is what a connection costs before it has sent anything, in bytes. A goroutine with its stack, net/http's two buffers and
	// its state are estimated at 8 to 12 KB; the rest stands for bytes in the socket's buffers.
	connCost = 40 << 10
	// lineCost is what net/http allocates for a header line beyond its bytes: 200 unfinished heads with about 3,300 lines each took 62 MB,
	// 94 bytes a line, and a map that grows holds its old and new halves for a moment.
	lineCost = 128
	// peerShare is the part of a VM's memory that requests of other nodes may use, in percent.
	peerShare = 10
	// clientShare is the part of a VM's memory that clients may use, in percent. At 184 MB it is 55 MB; the rest of a node needed 60 to
	// 70 MB at its peak with 31 VMs.
	clientShare = 30
	// runtimeShare is the part of a VM's memory from which the garbage collector works harder, in percent. The rest is for the program's
	// text and for sockets.
	runtimeShare = 65
	// fileFDs is the number of descriptors that the platform reserves for files.
	fileFDs = 200
	// The defaults apply to deployments whose settings give no limits. A client within the configuration's limits does not reach them.
	defaultBytes       = 512 << 20
	defaultConnections = 16_384
)

// Budget bounds what all clients hold together.
type Budget struct {
	// Bytes bounds the memory of connections and their requests.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
}

// BudgetOf returns the budget of a VM with the given memory in MB and number of descriptors. An amount of 0 is unknown and gives a default.
func BudgetOf(memoryMB, maxFDs int64) Budget {
	b := Budget{Bytes: defaultBytes, Connections: defaultConnections}
	if memoryMB > 0 {
		b.Bytes = memoryMB << 20 * clientShare / 100
	}
	if maxFDs > 0 {
		// Connections to runners, the store and other nodes need the other half.
		b.Connections = int(max(maxFDs-min(fileFDs, maxFDs/2), 2) / 2)
	}
	return b
}

// PeerBudgetOf is BudgetOf for other nodes. Of the descriptors that clients leave, a quarter remains for the connections that the node opens.
func PeerBudgetOf(memoryMB, maxFDs int64) Budget {
	clients := BudgetOf(memoryMB, maxFDs)
	return Budget{Bytes: clients.Bytes * peerShare / clientShare, Connections: clients.Connections * 3 / 4}
}

// RuntimeLimit returns the limit for debug.SetMemoryLimit in bytes on a VM with the given memory in MB.
func RuntimeLimit(memoryMB int64) int64 { return memoryMB << 20 * runtimeShare / 100 }

// Limits bounds one connection. Fields that are 0 take defaults.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeaderTimeout is the time from the first to the last byte of a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for the first byte of a request.
	IdleTimeout time.Duration
}

const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
