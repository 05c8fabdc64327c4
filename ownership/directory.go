// Package ownership tracks which nodes are alive and which node owns which cell, and ranks the candidates for a cell whose
// owner has failed. Nodes send heartbeats by rewriting a row of the store. Heartbeats are only hints: the owner of a cell is
// decided by the conditional write of its ownership row alone.
package ownership

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/store"
)

// TableNodes is the table with one heartbeat row per node, which the node rewrites every HeartbeatInterval.
const TableNodes = "nodes"

const (
	// HeartbeatInterval is how often a node rewrites its row and reads those of the others.
	HeartbeatInterval = 800 * time.Millisecond
	// deadAfter is how long a row may stay unchanged before its node is considered dead: three intervals.
	deadAfter = 3 * HeartbeatInterval
	// viewRetention is how long the last read state of the nodes stays valid while the store can't be read. It is longer
	// than the time for which an owner continues without the store.
	viewRetention = 15 * time.Second
)

// Heartbeat is the value of a node's heartbeat row.
type Heartbeat struct {
	Node string `json:"node"`
	Addr string `json:"addr"`
	// Incarnation differs for each start of the node's process.
	Incarnation string `json:"inc"`
	Region      string `json:"region"`
	// Leaving is set while the node shuts down: it hands its cells over and acquires no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// StoreMs is the shortest response time of the store that the node has measured, in milliseconds.
	StoreMs int64 `json:"store_ms"`
	// CPUShare is the share of a core that the node may use, and LinkMbps the bandwidth of its link in Mbit/s.
	CPUShare float64         `json:"cpu"`
	LinkMbps float64         `json:"mbps"`
	Cells    []dispatch.Load `json:"cells,omitempty"`
	// Acquiring holds the cells that the node is acquiring, whose jobs it may be reading.
	Acquiring []string `json:"acquiring,omitempty"`
	// Ended holds, by cell, the latest epoch that this process owned and for which it sends no more messages.
	Ended map[string]int64 `json:"ended,omitempty"`
	// Witness is set if the process confirms and denies outages of the store to owners of cells. Earlier builds don't.
	Witness bool `json:"witness,omitempty"`
}

// member is the last known state of a node.
type member struct {
	heartbeat Heartbeat
	version   int64
	// changedAt is when this node last read a new version of the row, and joinedAt when it first read one of the incarnation.
	changedAt, joinedAt time.Time
}

// Directory is a node's view of all nodes. It is safe for concurrent use.
type Directory struct {
	self string

	mu      sync.Mutex // guards the fields below
	members map[string]*member
	// loads is the last reported load of each cell.
	loads map[string]dispatch.Load
	// readAt is when the rows were last read, and gapEnd when reads last succeeded again after a gap.
	readAt time.Time
	gapEnd time.Time
	// allReadAt is when the rows of all nodes were last read, and ownersOnly is set if only those of owners have been read since.
	allReadAt  time.Time
	ownersOnly bool
	// cells is the number of cells as last given to FollowsAll.
	cells int
}

// NewDirectory returns an empty directory of the node self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, members: map[string]*member{}, loads: map[string]dispatch.Load{}}
}

// Update applies rows of TableNodes as read from the store. It returns an error for each row that can't be decoded.
func (d *Directory) Update(now time.Time, rows []store.Row) []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allReadAt, d.ownersOnly = now, false
	return d.update(now, rows)
}

// UpdateOwners applies rows of TableOwners. Until the next Update, nodes without cells count as alive if they were then.
func (d *Directory) UpdateOwners(now time.Time, rows []store.Row) []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownersOnly = true
	return d.update(now, rows)
}

// update applies rows. The caller holds mu.
func (d *Directory) update(now time.Time, rows []store.Row) []error {
	var problems []error
	if now.Sub(d.readAt) > deadAfter {
		// No rows were read during the gap, so it does not count as time without a heartbeat.
		d.gapEnd = now
	}
	d.readAt = now
	for _, row := range rows {
		m := d.members[row.Key.Name]
		if m != nil && row.Version <= m.version || row.Deleted {
			continue
		}
		heartbeat, err := decodeHeartbeat(row)
		if err != nil {
			// The node counts as dead if no valid row follows in time.
			problems = append(problems, fmt.Errorf("row %.50q: %.200s", row.Key.Name, err.Error()))
			continue
		}
		if m == nil {
			m = &member{}
			d.members[row.Key.Name] = m
		}
		if m.heartbeat.Incarnation != heartbeat.Incarnation {
			m.joinedAt = now
		}
		m.heartbeat, m.version, m.changedAt = heartbeat, row.Version, now
		for _, load := range heartbeat.Cells {
			// Loads are kept when a row no longer lists the cell: during a handover the old owner removes the cell from
			// its row before the new owner has written its own.
			if d.loads[load.Cell].Epoch <= load.Epoch {
				d.loads[load.Cell] = load
			}
		}
	}
	return problems
}

// maxAmount bounds the amounts in a heartbeat, so that sums of them can't overflow.
const maxAmount = 1 << 53

// decodeHeartbeat decodes and checks a heartbeat row. A row of another writer names no node: its load would attract jobs, and
// its epochs would hide those of the cells' owners.
func decodeHeartbeat(row store.Row) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(row.Value, &heartbeat); err != nil {
		return heartbeat, err
	}
	switch {
	case heartbeat.Node != row.Key.Name:
		return heartbeat, fmt.Errorf("names node %.50q", heartbeat.Node)
	case heartbeat.Addr == "" || heartbeat.Incarnation == "":
		return heartbeat, errors.New("address or incarnation is missing")
	case heartbeat.StoreMs < 0 || heartbeat.CPUShare < 0 || heartbeat.LinkMbps < 0 || heartbeat.CPUShare > maxAmount || heartbeat.LinkMbps > maxAmount:
		return heartbeat, errors.New("time, processor share or bandwidth is out of range")
	}
	cells := make(map[string]bool, len(heartbeat.Cells))
	for i := range heartbeat.Cells {
		load := &heartbeat.Cells[i]
		if load.Cell == "" || cells[load.Cell] {
			return heartbeat, fmt.Errorf("cell %.50q has no name or is listed twice", load.Cell)
		}
		cells[load.Cell] = true
		if err := checkLoad(load, row.Version); err != nil {
			return heartbeat, fmt.Errorf("cell %.50q: %w", load.Cell, err)
		}
	}
	return heartbeat, nil
}

func checkLoad(load *dispatch.Load, rowVersion int64) error {
	// The epoch is the version of an earlier commit.
	if load.Epoch < 1 || load.Epoch > rowVersion {
		return fmt.Errorf("epoch %d is out of range", load.Epoch)
	}
	if load.Runners < 0 || load.Capacity < 0 || load.BacklogMs < 0 || load.BestEffortWaitMs < 0 || load.LongRunningFreed < 0 {
		return errors.New("load is negative")
	}
	for _, amount := range []int64{load.BacklogMs, load.BestEffortWaitMs, load.Capacity, load.Free, load.LongRunningCapacity, load.LongRunningFreed} {
		if amount > maxAmount || amount < -maxAmount {
			return fmt.Errorf("amount %d is out of range", amount)
		}
	}
	for organisation, d := range load.Organisations {
		for _, amounts := range []quota.Amounts{d.Used, d.Waiting, d.Largest} {
			if slices.Min(amounts[:]) < 0 || slices.Max(amounts[:]) > quota.MaxAmount {
				return fmt.Errorf("demand %v of organisation %.50q is out of range", amounts, organisation)
			}
		}
	}
	for queue, count := range load.Pending {
		if count < 0 || count > maxAmount {
			return fmt.Errorf("queue %.50q has %d waiting jobs", queue, count)
		}
	}
	for organisation, ms := range load.ExcessMs {
		if ms < 0 || ms > maxAmount {
			return fmt.Errorf("excess of organisation %.50q is %d ms", organisation, ms)
		}
	}
	return nil
}

// alive reports whether a member is considered alive. While the store can't be read, the last state stays valid for
// viewRetention, because owners continue to work for a while without the store and refuse requests themselves when they
// stop. The caller holds mu.
func (d *Directory) alive(now time.Time, m *member) bool {
	return d.wasAlive(m) && now.Sub(d.readAt) < viewRetention
}

// wasAlive reports whether a member was considered alive when the rows were last read. The caller holds mu.
func (d *Directory) wasAlive(m *member) bool {
	since := m.changedAt
	if d.gapEnd.After(since) {
		since = d.gapEnd
	}
	readAt := d.readAt
	if d.ownersOnly && len(m.heartbeat.Cells) == 0 {
		readAt = d.allReadAt
	}
	return readAt.Sub(since) < deadAfter
}

const (
	// maxFullyRead is the number of nodes up to which each node reads the heartbeats of all. What all nodes read together grows with
	// the square of their number.
	maxFullyRead = 48
	// spareOwners is the number of strong nodes beyond one for each cell that must be alive for the other nodes not to follow all
	// heartbeats.
	spareOwners = 3
	// standbyOwners is the number of strong nodes beyond one for each cell that follow all heartbeats, if there are more than maxFullyRead nodes.
	// What they read is the same for each cell then, however many strong nodes there are.
	standbyOwners = 8
)

// likelyOwners returns the nodes that own cells and those that should take cells next: strong ones, of which those close to the store come
// first. It returns nil if all nodes are, because there are few. The caller holds mu.
func (d *Directory) likelyOwners(now time.Time) map[string]bool {
	type strongNode struct {
		name string
		far  bool
		hash uint64
	}
	var strong []strongNode
	likely, alive := map[string]bool{}, 0
	for name, m := range d.members {
		if !d.alive(now, m) || m.heartbeat.Leaving {
			continue
		}
		alive++
		if len(m.heartbeat.Cells) > 0 {
			likely[name] = true
		}
		if m.heartbeat.capacityHalfCells() >= maxCapacityHalfCells {
			strong = append(strong, strongNode{name, m.heartbeat.StoreMs > farStoreMs, hashOf(name)})
		}
	}
	if alive <= maxFullyRead || len(strong) < d.cells+spareOwners {
		return nil
	}
	slices.SortFunc(strong, func(a, b strongNode) int {
		if a.far != b.far {
			if a.far {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	for _, s := range strong[:min(len(strong), d.cells+standbyOwners)] {
		likely[s.name] = true
	}
	return likely
}

// FollowsAll reports whether this node has to read the heartbeats of all nodes, because it is one of the likely next owners of a
// cell. Other nodes need to know the owners only.
func (d *Directory) FollowsAll(now time.Time, cells int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cells = cells
	likely := d.likelyOwners(now)
	return likely == nil || likely[d.self]
}

// ChangesSince returns about how many times the known nodes have rewritten their rows in a time.
func (d *Directory) ChangesSince(gap time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(min(gap/HeartbeatInterval, time.Hour/HeartbeatInterval)) * len(d.members)
}

// Size returns the number of nodes that this node has ever read, alive or not.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// IsFresh reports whether the directory was read within deadAfter.
func (d *Directory) IsFresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.readAt.IsZero() && now.Sub(d.readAt) < deadAfter
}

// Owner is a node whose heartbeat lists a cell as owned.
type Owner struct {
	Node string
	Addr string
	Load dispatch.Load
	// StoreMs is as in Heartbeat.
	StoreMs int64
	Region  string
	// Version is the version of the node's row; callers compare it to detect a new Load.
	Version int64
}

// Owners returns the owner of each cell whose owner is alive. If two nodes list a cell, the one with the higher epoch is
// the owner.
func (d *Directory) Owners(now time.Time) map[string]Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	owners := map[string]Owner{}
	for name, m := range d.members {
		if !d.alive(now, m) {
			continue
		}
		for _, load := range m.heartbeat.Cells {
			if other, ok := owners[load.Cell]; !ok || other.Load.Epoch < load.Epoch {
				owners[load.Cell] = Owner{Node: name, Addr: m.heartbeat.Addr, Load: load, StoreMs: m.heartbeat.StoreMs, Region: m.heartbeat.Region, Version: m.version}
			}
		}
	}
	return owners
}

// SilentFor returns how long the heartbeat of a node has been unchanged.
func (d *Directory) SilentFor(now time.Time, node string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[node]
	if m == nil {
		return 0
	}
	return now.Sub(m.changedAt)
}

// AliveCount returns the number of nodes that are alive.
func (d *Directory) AliveCount(now time.Time) int {
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

// LastLoads returns the last reported load of each cell; the owner that reported it may have failed since.
func (d *Directory) LastLoads() map[string]dispatch.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.loads)
}

// IsAlive reports whether the incarnation of a node is alive and not leaving.
func (d *Directory) IsAlive(now time.Time, node, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[node]
	return m != nil && d.alive(now, m) && m.heartbeat.Incarnation == incarnation && !m.heartbeat.Leaving
}

// IsAcquiring reports whether, according to the last heartbeat read from it, the incarnation of a node is acquiring a cell.
func (d *Directory) IsAcquiring(node, incarnation, cell string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[node]
	return m != nil && m.heartbeat.Incarnation == incarnation && slices.Contains(m.heartbeat.Acquiring, cell)
}

// HasEnded reports whether, according to the last heartbeat read from its node, a former owner of a cell sends no more
// commands: the node runs another process, or the process has reported the epoch as ended. Versions come from one counter, so
// a heartbeat that is older than the epoch was written before the owner acquired the cell and shows neither.
func (d *Directory) HasEnded(owner dispatch.Ownership, cell string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[owner.Node]
	if m == nil || owner.Epoch < 1 || m.version < owner.Epoch {
		return false
	}
	return m.heartbeat.Incarnation != owner.Incarnation || m.heartbeat.Ended[cell] >= owner.Epoch
}

// farStoreMs is the response time above which a node is considered far from the store, in milliseconds. Within the region
// of the store a response takes a few milliseconds; another region adds 40 ms.
const farStoreMs = 25

// minRelayNodes is the minimum number of nodes in a region far from the store for one of them to relay operators' rows to the
// others.
const minRelayNodes = 6

// Relay returns the address of the node that relays operators' rows to this node. It returns "" if this node reads them from
// the store, because it is near the store, its region has few nodes, or it is the relay itself. The relay is the node of the
// region with the fastest link; ties are broken by name.
func (d *Directory) Relay(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.members[d.self]
	if self == nil || self.heartbeat.StoreMs <= farStoreMs {
		return ""
	}
	var relay *Heartbeat
	count := 0
	for _, m := range d.members {
		heartbeat := &m.heartbeat
		if !d.alive(now, m) || heartbeat.Leaving || heartbeat.Region != self.heartbeat.Region || heartbeat.StoreMs <= farStoreMs {
			continue
		}
		count++
		if relay == nil || heartbeat.LinkMbps > relay.LinkMbps || heartbeat.LinkMbps == relay.LinkMbps && heartbeat.Node < relay.Node {
			relay = heartbeat
		}
	}
	if count < minRelayNodes || relay.Node == d.self {
		return ""
	}
	return relay.Addr
}

// Peers returns the addresses of the other nodes that were alive when heartbeats were last read, however long ago that is. Nodes of this
// node's region and others alternate, because a cut may separate a whole region from the store or from the other regions. Each node has
// an order of its own, so that they do not all call the same one.
func (d *Directory) Peers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	region := ""
	if self := d.members[d.self]; self != nil {
		region = self.heartbeat.Region
	}
	var near, far []*Heartbeat
	for name, m := range d.members {
		switch {
		case name == d.self || m.heartbeat.Leaving || !d.wasAlive(m):
		case m.heartbeat.Region == region:
			near = append(near, &m.heartbeat)
		default:
			far = append(far, &m.heartbeat)
		}
	}
	d.sortPeers(near)
	d.sortPeers(far)
	addrs := make([]string, 0, len(near)+len(far))
	for i := range max(len(near), len(far)) {
		for _, group := range [][]*Heartbeat{near, far} {
			if i < len(group) {
				addrs = append(addrs, group[i].Addr)
			}
		}
	}
	return addrs
}

func (d *Directory) sortPeers(peers []*Heartbeat) {
	rank := func(h *Heartbeat) uint64 {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(d.self + "/" + h.Node)) // a hash never fails
		return hash.Sum64()
	}
	slices.SortFunc(peers, func(a, b *Heartbeat) int { return cmp.Compare(rank(a), rank(b)) })
}

// Resources that a node needs to own a cell of typical size without being limited by its CPU or its link.
const (
	cpuPerCell  = 0.3
	mbpsPerCell = 25.0
	// overload is the multiple of its capacity that an owner may have. Smaller cells leave more capacity unused.
	overload = 2.0
)

// capacityCells returns how many cells of typical size a node can serve well.
func (b *Heartbeat) capacityCells() float64 {
	return min(b.CPUShare/cpuPerCell, b.LinkMbps/mbpsPerCell)
}

// capacityHalfCells returns how many cells a node can serve well, in units of half a cell so that similar nodes rank
// equal. It is at least one unit.
func (b *Heartbeat) capacityHalfCells() int {
	return max(int(2*b.capacityCells()), 1)
}

// CellCount returns into how many cells a number of runners should be divided, at least the given number: so many that each of the
// strongest nodes can serve one, and at most one for each live node. typical is the number of runners of a cell of typical size.
func (d *Directory) CellCount(now time.Time, runners, typical, atLeast int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	var capacities []float64
	for _, m := range d.members {
		if d.alive(now, m) && !m.heartbeat.Leaving {
			capacities = append(capacities, m.heartbeat.capacityCells())
		}
	}
	slices.SortFunc(capacities, func(a, b float64) int { return cmp.Compare(b, a) })
	count := max(atLeast, 1)
	for count < len(capacities) && float64(runners)/float64(count) > float64(typical)*overload*capacities[count-1] {
		count++
	}
	return count
}

// Rank returns the position of this node among the candidates for a cell, best first, or -1 if it is not a candidate.
// Nodes that were alive before the cell's last owner fell silent come first: they have seen for longer that it writes nothing, so
// they wait less for its leases. Then candidates are ordered by the share of their capacity that is in use, then nodes near the
// store come first, then by a hash of cell and node.
func (d *Directory) Rank(now time.Time, cell string) int {
	return slices.IndexFunc(d.Candidates(now, cell), func(c Candidate) bool { return c.Node == d.self })
}

// Candidate is a node that may acquire a cell.
type Candidate struct {
	Node, Addr, Incarnation string
	// Witness is as in Heartbeat.
	Witness bool
}

// Candidates returns the nodes that may acquire a cell in the order of Rank.
func (d *Directory) Candidates(now time.Time, cell string) []Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	type candidate struct {
		Candidate
		late bool
		// unlikely nodes may know of the other nodes what they were half a minute ago.
		unlikely bool
		load     float64
		far      bool
		hash     uint64
	}
	var candidates []candidate
	silentSince := d.lastHeardOwner(cell)
	likely := d.likelyOwners(now)
	for name, m := range d.members {
		if !d.alive(now, m) || m.heartbeat.Leaving {
			continue
		}
		late := !silentSince.IsZero() && !m.joinedAt.Before(silentSince)
		candidates = append(candidates, candidate{Candidate{name, m.heartbeat.Addr, m.heartbeat.Incarnation, m.heartbeat.Witness}, late, likely != nil && !likely[name], m.heartbeat.loadWithOneMore(), m.heartbeat.StoreMs > farStoreMs, hashOf(cell, name)})
	}
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		switch {
		case x.late != y.late:
			return y.late
		case x.unlikely != y.unlikely:
			return y.unlikely
		case x.load != y.load:
			return x.load < y.load
		case x.far != y.far:
			return !x.far
		default:
			return x.hash < y.hash
		}
	})
	nodes := make([]Candidate, len(candidates))
	for i, c := range candidates {
		nodes[i] = c.Candidate
	}
	return nodes
}

// lastHeardOwner returns when the heartbeat of the last node that listed a cell was last read; zero if none did. The caller
// holds mu.
func (d *Directory) lastHeardOwner(cell string) time.Time {
	var at time.Time
	epoch := int64(0)
	for _, m := range d.members {
		for i := range m.heartbeat.Cells {
			if load := &m.heartbeat.Cells[i]; load.Cell == cell && load.Epoch > epoch {
				at, epoch = m.changedAt, load.Epoch
			}
		}
	}
	return at
}

// maxCapacityHalfCells caps a node's capacity in Rank, in half cells, so that cells go to different nodes as long as
// enough nodes can serve a whole cell.
const maxCapacityHalfCells = 2

// loadWithOneMore returns the node's cells, including one more, per half cell of its capacity. It is only used to compare
// nodes.
func (b *Heartbeat) loadWithOneMore() float64 {
	capacity := min(b.capacityHalfCells(), maxCapacityHalfCells)
	return float64(len(b.Cells)+1) / float64(capacity)
}

func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
