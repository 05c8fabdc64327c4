package upstream

import (
	"strconv"
	"strings"
)

// Load is the load that an upstream reports in HeaderLoad.
type Load struct {
	InFlight, Slots, Queue int
	// Valid is set if the upstream reported a load.
	Valid bool
}

const (
	// maxLoadHeader is the longest value of HeaderLoad that is read, in bytes.
	maxLoadHeader = 128
	// maxLoadNumber bounds each number, so that sums of them cannot overflow.
	maxLoadNumber = 1 << 20
)

// ParseLoad parses a value of the form "inflight=N,slots=N,queue=N". Unknown names are ignored, so that upstreams may
// add fields. The load of a malformed value is invalid, because a wrong load is worse than none.
func ParseLoad(value string) Load {
	if value == "" || len(value) > maxLoadHeader {
		return Load{}
	}
	load := Load{}
	known := false
	for field := range strings.SplitSeq(value, ",") {
		name, digits, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			return Load{}
		}
		target := load.field(name)
		if target == nil {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		if err != nil || n > maxLoadNumber {
			return Load{}
		}
		*target = int(n)
		known = true
	}
	load.Valid = known
	return load
}

func (l *Load) field(name string) *int {
	switch name {
	case "inflight":
		return &l.InFlight
	case "slots":
		return &l.Slots
	case "queue":
		return &l.Queue
	default:
		return nil
	}
}
