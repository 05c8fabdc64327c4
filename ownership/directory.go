// Package ownership says which nodes are alive and which node owns which cell, and takes cells over whose owner is gone.
// Nodes show that they are alive by rewriting a row of the store; nobody else decides who owns a cell than the
// conditional write of its ownership row.
package ownership

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/store"
)

// TableNodes holds one row for each node, which the node rewrites every BeatInterval.
const TableNodes = "nodes"

const (
	// BeatInterval is how often a node rewrites its row and reads those of the others.
	BeatInterval = 800 * time.Millisecond
	// deadAfter is how long a row may stay the same until its node counts as gone: three intervals.
	deadAfter = 3 * BeatInterval
	// keepView is how long the nodes count as they were read last while the store can't be read. It outlasts the time for
	// which an owner goes on without the store.
	keepView = 15 * time.Second
)

// Beat is the value of a node's row.
type Beat struct {
	Node string `json:"node"`
	Addr string `json:"addr"`
	// Incarnation differs for each start of the node's process.
	Incarnation string `json:"inc"`
	Region      string `json:"region"`
	// Leaving nodes hand their cells over and take no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// StoreMs is the shortest answer time of the store that the node saw, in milliseconds.
	StoreMs int64 `json:"store_ms"`
	// CPUShare is the share of a core that the node has, and LinkMbps the bandwidth of its link in Mbit/s.
	CPUShare float64         `json:"cpu"`
	LinkMbps float64         `json:"mbps"`
	Cells    []dispatch.Load `json:"cells,omitempty"`
	// Ended holds the epochs of cells that this process owned and sends nothing for any more.
	Ended map[string]int64 `json:"ended,omitempty"`
}

// member is a node as this node sees it.
type member struct {
	beat    Beat
	version int64
	// changedAt is when this node saw the row change last.
	changedAt time.Time
}

// Directory is what a node knows of all nodes. It is safe for concurrent use.
type Directory struct {
	self string

	mu      sync.Mutex // owned by the methods of Directory
	members map[string]*member
	// loads is what was last told of each cell.
	loads map[string]dispatch.Load
	// readAt is when the rows were last read, and gapEnd when reads last began to work again after a gap.
	readAt time.Time
	gapEnd time.Time
}

// NewDirectory returns an empty directory of the node self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: map[string]*member{}, loads: map[string]dispatch.Load{}}
}

// Update takes rows as read from the store.
func (d *Directory) Update(now time.Time, rows []store.Row) []error {
	var problems []error
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.readAt) > deadAfter {
		// Nobody's rows were seen meanwhile, so nobody's silence counts from before.
		d.gapEnd = now
	}
	d.readAt = now
	for _, row := range rows {
		m := d.members[row.Key.Name]
		if m == nil {
			m = &member{}
			d.members[row.Key.Name] = m
		}
		if row.Version <= m.version {
			continue
		}
		var beat Beat
		if err := json.Unmarshal(row.Value, &beat); err != nil {
			problems = append(problems, err)
			continue
		}
		m.beat, m.version, m.changedAt = beat, row.Version, now
		for _, load := range beat.Cells {
			// An owner that hands its cell over writes a row without it before the next one has written its own.
			if d.loads[load.Cell].Epoch <= load.Epoch {
				d.loads[load.Cell] = load
			}
		}
	}
	return problems
}

// alive reports whether a member counts as alive. What was read last counts for a while in which nothing can be read: an
// owner of a cell may well be at work, and says so itself if it is not. The caller holds mu.
func (d *Directory) alive(now time.Time, m *member) bool {
	since := m.changedAt
	if d.gapEnd.After(since) {
		since = d.gapEnd
	}
	return d.readAt.Sub(since) < deadAfter && now.Sub(d.readAt) < keepView
}

// Fresh reports whether the directory was read a short time ago.
func (d *Directory) Fresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.readAt.IsZero() && now.Sub(d.readAt) < deadAfter
}

// Owner is a node that says that it owns a cell.
type Owner struct {
	Node string
	Addr string
	Load dispatch.Load
	// StoreMs is as in Beat.
	StoreMs int64
	Region  string
	// Version is the version of the node's row; it tells whether Load is new.
	Version int64
}

// Owners returns the owner of each cell that has a living one. Of two nodes the one with the higher epoch counts.
func (d *Directory) Owners(now time.Time) map[string]Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	owners := map[string]Owner{}
	for name, m := range d.members {
		if !d.alive(now, m) {
			continue
		}
		for _, load := range m.beat.Cells {
			if other, ok := owners[load.Cell]; !ok || other.Load.Epoch < load.Epoch {
				owners[load.Cell] = Owner{Node: name, Addr: m.beat.Addr, Load: load, StoreMs: m.beat.StoreMs, Region: m.beat.Region, Version: m.version}
			}
		}
	}
	return owners
}

// Living returns the number of nodes that are alive.
func (d *Directory) Living(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, m := range d.members {
		if d.alive(now, m) {
			count++
		}
	}
	return count
}

// LastLoads returns what was last told of each cell, by an owner that may be gone since.
func (d *Directory) LastLoads() map[string]dispatch.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.loads)
}

// Lives reports whether a node's row shows that the incarnation is alive and keeps its cells.
func (d *Directory) Lives(now time.Time, node, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[node]
	return m != nil && d.alive(now, m) && m.beat.Incarnation == incarnation && !m.beat.Leaving
}

// HasEnded reports whether a former owner of a cell surely sends no orders any more: its node runs another process, or its
// process says so of that epoch.
func (d *Directory) HasEnded(owner dispatch.Ownership, cell string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[owner.Node]
	if m == nil || m.beat.Incarnation == "" {
		return false
	}
	if m.beat.Incarnation != owner.Incarnation {
		return true
	}
	return owner.Epoch != 0 && m.beat.Ended[cell] >= owner.Epoch
}

// farStoreMs is the answer time of the store from which a node counts as far from it: within a region it takes a few
// milliseconds, and 40 more from another one.
const farStoreMs = 25

// relayNodes is the number of nodes in a region far from the store from which one of them reads operators' rows for all.
const relayNodes = 6

// Relay returns the address of the node that relays operators' rows to the node self, or "" if self reads them from the
// store: it is near the store, has few neighbours, or is the relay. The relay is the node with the fastest link, then
// the first by name.
func (d *Directory) Relay(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.members[d.self]
	if self == nil || self.beat.StoreMs <= farStoreMs {
		return ""
	}
	var relay *Beat
	count := 0
	for _, m := range d.members {
		beat := &m.beat
		if !d.alive(now, m) || beat.Leaving || beat.Region != self.beat.Region || beat.StoreMs <= farStoreMs {
			continue
		}
		count++
		if relay == nil || beat.LinkMbps > relay.LinkMbps || beat.LinkMbps == relay.LinkMbps && beat.Node < relay.Node {
			relay = beat
		}
	}
	if count < relayNodes || relay.Node == d.self {
		return ""
	}
	return relay.Addr
}

// What a node needs to own a cell of the usual size without waiting for its processor or its link.
const (
	cpuPerCell  = 0.3
	mbpsPerCell = 25.0
)

// strength returns how many cells a node serves well, in halves so that like nodes are equal; at least one half.
func (b *Beat) strength() int {
	cells := min(b.CPUShare/cpuPerCell, b.LinkMbps/mbpsPerCell)
	return max(int(2*cells), 1)
}

// Rank returns the position of the node self among the nodes that may take a cell, best first, and -1 if it may not.
// Nodes whose cells take the smallest part of their strength come first, then those near the store, then by a hash that
// differs by cell.
func (d *Directory) Rank(now time.Time, cell string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	type candidate struct {
		name string
		load float64
		far  bool
		hash uint64
	}
	var candidates []candidate
	for name, m := range d.members {
		if !d.alive(now, m) || m.beat.Leaving {
			continue
		}
		candidates = append(candidates, candidate{name, m.beat.loadWithOneMore(), m.beat.StoreMs > farStoreMs, hashOf(cell, name)})
	}
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		switch {
		case x.load != y.load:
			return x.load < y.load
		case x.far != y.far:
			return !x.far
		default:
			return x.hash < y.hash
		}
	})
	for i, c := range candidates {
		if c.name == d.self {
			return i
		}
	}
	return -1
}

// maxStrength bounds the strength that counts, so that cells go to different nodes as long as some are strong enough.
const maxStrength = 2

// loadWithOneMore returns the part of the node's strength that its cells and one more take.
func (b *Beat) loadWithOneMore() float64 {
	strength := min(b.strength(), maxStrength)
	return float64(len(b.Cells)+1) / float64(strength)
}

func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
