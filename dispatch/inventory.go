package dispatch

import (
	"encoding/base64"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// An owner starts nothing on a runner that drains, does not respond or is not listed by service discovery. Such a closed runner has only the
// runs that the owner still records there. The ownership row lists them as the runner's inventory, so that tasks that can't be there don't wait
// for it after a takeover.
//
// An inventory names too many units rather than too few. While the durable row may list a runner, its owner starts nothing there: the
// inventory is built under mu, and the runner is open again once a commit whose row does not list it has succeeded.

const (
	// maxInventories bounds the runners in Ownership.Closed. For the others, the next owner does not know what they may run.
	maxInventories = 100
	// maxInventoryBytes bounds the size of Ownership.Closed, which is part of each commit.
	maxInventoryBytes = 8 << 10
	// unitKeyBytes is the length of an encoded unitKey.
	unitKeyBytes = 3
)

// unitKey identifies a unit in an inventory by unitKeyBytes bytes of a hash. Two units with the same key only make each other wait.
type unitKey uint32

// keyOf returns the key of the unit whose first task has the given ID. It must not change between builds.
func keyOf(id workload.TaskID) unitKey {
	// FNV-1a, folded to the length of a key.
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for i := range len(id.Job) {
		hash = (hash ^ uint32(id.Job[i])) * prime
	}
	for _, n := range [...]int{id.Occurrence, id.Step, id.Index} {
		for range 4 {
			hash = (hash ^ uint32(n&0xff)) * prime
			n >>= 8
		}
	}
	return unitKey(hash>>(8*unitKeyBytes) ^ hash&(1<<(8*unitKeyBytes)-1))
}

func (u *unit) key() unitKey { return keyOf(u.task(0)) }

// inventory has the units that may run on a runner, each list in ascending order. nil means that any unit may.
type inventory struct {
	// leased has the units whose runs there end with a lease of which the owner knows the end, and open the others.
	open, leased []unitKey
}

// inventorySeparator separates the encoded lists of an inventory. The second one is left out if it is empty.
const inventorySeparator = "."

// encode returns the value of an inventory in Ownership.Closed.
func (v *inventory) encode() string {
	if len(v.leased) == 0 {
		return encodeKeys(v.open)
	}
	return encodeKeys(v.open) + inventorySeparator + encodeKeys(v.leased)
}

func encodeKeys(keys []unitKey) string {
	b := make([]byte, 0, unitKeyBytes*len(keys))
	for _, key := range keys {
		b = append(b, byte(key>>16), byte(key>>8), byte(key))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeInventory returns the inventory with a value in Ownership.Closed, or nil if it can't be decoded.
func decodeInventory(value string) *inventory {
	open, leased, _ := strings.Cut(value, inventorySeparator)
	v := &inventory{}
	var ok bool
	if v.open, ok = decodeKeys(open); !ok {
		return nil
	}
	if v.leased, ok = decodeKeys(leased); !ok {
		return nil
	}
	return v
}

func decodeKeys(value string) (keys []unitKey, ok bool) {
	b, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil || len(b)%unitKeyBytes != 0 {
		return nil, false
	}
	for ; len(b) > 0; b = b[unitKeyBytes:] {
		keys = append(keys, unitKey(b[0])<<16|unitKey(b[1])<<8|unitKey(b[2]))
	}
	slices.Sort(keys)
	return keys, true
}

func sortedKeys(keys []unitKey) []unitKey {
	slices.Sort(keys)
	return slices.Compact(keys)
}

// mayRunUntil returns when a unit has ended on the runner if it runs there. It returns false if the unit can't run there by what the previous
// owner has listed.
func (x *unresolvedRunner) mayRunUntil(u *unit) (until time.Time, may bool) {
	// The end of one member of a gang ends it, also while other members are not recorded any more, so an inventory may lack a gang.
	if x.inventory == nil || u.size > 1 {
		return x.until, true
	}
	key := u.key()
	if _, open := slices.BinarySearch(x.inventory.open, key); open {
		return x.until, true
	}
	if _, leased := slices.BinarySearch(x.inventory.leased, key); !leased {
		return time.Time{}, false
	}
	if x.leasedUntil.IsZero() || x.until.Before(x.leasedUntil) {
		return x.until, true
	}
	return x.leasedUntil, true
}

// isClosed reports whether the runner gets no tasks, for a reason that does not pass soon. The caller holds mu.
func (rs *runnerState) isClosed(now time.Time) bool {
	return !rs.present || rs.info.Draining || rs.isSilent(now)
}

// inventoryOf returns which units may run on a closed runner, or nil if that is not known. Units of which the runner has reported an end that
// is not durable count too: a new owner must learn of that end before it starts them. The caller holds mu.
func (c *Cell) inventoryOf(rs *runnerState) *inventory {
	// A runner without a report may have tasks of an earlier owner, and one with foreign runs has tasks that are not recorded here.
	if !rs.synced || rs.foreign > 0 {
		return nil
	}
	v := &inventory{}
	leased := rs.hasKnownLeaseEnd()
	for r := range rs.runs {
		if leased && r.phase == runRunning {
			v.leased = append(v.leased, r.unit.key())
		} else {
			v.open = append(v.open, r.unit.key())
		}
	}
	for _, e := range rs.unackedEnds {
		switch {
		case e.number <= rs.acked:
		case leased:
			v.leased = append(v.leased, e.unit)
		default:
			v.open = append(v.open, e.unit)
		}
	}
	v.open, v.leased = sortedKeys(v.open), sortedKeys(v.leased)
	return v
}

// hasKnownLeaseEnd reports whether leaseEnd is when the confirmed runs of a runner that does not respond have ended. Start commands without a
// response do not extend the lease of its present process beyond that. Another process, whose lease may end later, has only the runs of
// such commands. The caller holds mu.
func (rs *runnerState) hasKnownLeaseEnd() bool {
	return rs.pollFailing && !rs.leaseEnd.IsZero() && !rs.awaitsFence()
}

// listInventories sets the fields of an ownership row that say what may run on closed runners. The caller holds mu.
func (c *Cell) listInventories(now time.Time, o *Ownership) {
	closed, ends := map[string]string{}, map[string]time.Time{}
	list := func(id string, v *inventory, leasedUntil time.Time) {
		closed[id] = v.encode()
		if len(v.leased) > 0 && !leasedUntil.IsZero() {
			ends[id] = leasedUntil
		}
	}
	for id, x := range c.unresolved {
		// This owner starts nothing there either before the runner has responded.
		if !x.responded && x.inventory != nil {
			list(id, x.inventory, x.leasedUntil)
		}
	}
	for id, rs := range c.runners {
		if c.unresolved[id] != nil || c.terminated[id] || !rs.isClosed(now) {
			continue
		}
		if v := c.inventoryOf(rs); v != nil {
			list(id, v, rs.leaseEnd)
		}
	}
	o.Closed, o.ClosedLeasesMs = boundInventories(closed), map[string]int64{}
	for id, end := range ends {
		if _, listed := o.Closed[id]; listed {
			o.ClosedLeasesMs[id] = max(end.Sub(now).Milliseconds(), 0) + 1
		}
	}
}

// boundInventories returns the first entries of a value of Ownership.Closed by ID, up to maxInventories and maxInventoryBytes.
func boundInventories(closed map[string]string) map[string]string {
	bounded := make(map[string]string, min(len(closed), maxInventories))
	size := 0
	for _, id := range slices.Sorted(maps.Keys(closed)) {
		size += encodedSize(id) + encodedSize(closed[id])
		if len(bounded) == maxInventories || size > maxInventoryBytes {
			break
		}
		bounded[id] = closed[id]
	}
	return bounded
}

// listClosed records that the durable ownership row may list runners as closed. The caller holds mu.
func (c *Cell) listClosed(closed map[string]string) {
	for id := range closed {
		c.listedClosed[id] = true
	}
}

// unlistClosed records that the durable ownership row lists only the given runners as closed. The caller holds mu.
func (c *Cell) unlistClosed(closed map[string]string) {
	for id := range c.listedClosed {
		if _, listed := closed[id]; !listed {
			delete(c.listedClosed, id)
			wake(c.planWake)
		}
	}
}

// knownInventories returns the number of unresolved runners of which the previous owner has listed what may run there. The caller holds
// mu.
func (c *Cell) knownInventories() int {
	count := 0
	for _, x := range c.unresolved {
		if x.inventory != nil {
			count++
		}
	}
	return count
}
