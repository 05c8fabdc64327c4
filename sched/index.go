package sched

import (
	"math/bits"

	"github.com/currantthread/currantthread/job"
)

const (
	// subBits is the number of bits below the leading one that tell buckets apart: 8 buckets for each power of two.
	subBits     = 3
	bucketCount = 64 << subBits
	bucketWords = bucketCount / 64
)

// freeIndex holds workers in buckets by what is available on one axis, so that a search visits workers in about the
// order of best fit without sorting them.
type freeIndex struct {
	axis     func(job.Resources) int64
	id       indexID
	buckets  [bucketCount][]*worker
	nonEmpty [bucketWords]uint64
}

// indexID says which of a worker's slots an index uses.
type indexID int

const (
	indexCPU indexID = iota
	indexAccelerators
	indexes
)

// slot is the place of a worker in an index.
type slot struct{ bucket, pos int }

func bucketOf(amount int64) int {
	if amount < 1<<subBits {
		return int(max(amount, 0))
	}
	exp := bits.Len64(uint64(amount)) - 1
	sub := int(amount>>(exp-subBits)) & (1<<subBits - 1)
	return (exp-subBits+1)<<subBits + sub
}

func (x *freeIndex) insert(w *worker) {
	b := bucketOf(x.axis(w.available()))
	w.slots[x.id] = slot{b, len(x.buckets[b])}
	x.buckets[b] = append(x.buckets[b], w)
	x.nonEmpty[b/64] |= 1 << (b % 64)
}

func (x *freeIndex) remove(w *worker) {
	at := w.slots[x.id]
	list := x.buckets[at.bucket]
	last := list[len(list)-1]
	list[at.pos] = last
	last.slots[x.id].pos = at.pos
	list[len(list)-1] = nil
	x.buckets[at.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		x.nonEmpty[at.bucket/64] &^= 1 << (at.bucket % 64)
	}
}

func (x *freeIndex) update(w *worker) {
	if bucketOf(x.axis(w.available())) == w.slots[x.id].bucket {
		return
	}
	x.remove(w)
	x.insert(w)
}

// ascend calls visit for each worker in buckets that can hold amount, smallest first, until visit returns false.
func (x *freeIndex) ascend(amount int64, visit func(*worker) bool) {
	first := bucketOf(amount)
	for word := first / 64; word < bucketWords; word++ {
		set := x.nonEmpty[word]
		if word == first/64 {
			set &= ^uint64(0) << (first % 64)
		}
		for ; set != 0; set &= set - 1 {
			b := word*64 + bits.TrailingZeros64(set)
			for _, w := range x.buckets[b] {
				if !visit(w) {
					return
				}
			}
		}
	}
}

// descend is ascend in the opposite order.
func (x *freeIndex) descend(amount int64, visit func(*worker) bool) {
	for b := bucketCount - 1; b >= bucketOf(amount); b-- {
		for _, w := range x.buckets[b] {
			if !visit(w) {
				return
			}
		}
	}
}

// rack groups workers that fail together.
type rack struct {
	name    string
	workers []*worker
	// room is at least the available resources of each worker on each axis. It is exact unless stale is set.
	room  job.Resources
	stale bool
	// index is the place in Scheduler.racks and in spread.replicas.
	index int
}

func (r *rack) add(w *worker) {
	w.rack, w.rackPos = r, len(r.workers)
	r.workers = append(r.workers, w)
	r.stale = true
}

func (r *rack) drop(w *worker) {
	last := r.workers[len(r.workers)-1]
	r.workers[w.rackPos] = last
	last.rackPos = w.rackPos
	r.workers = r.workers[:len(r.workers)-1]
	r.stale = true
}

// mayFit reports whether need could fit on some worker of the rack.
func (r *rack) mayFit(need job.Resources) bool {
	if r.stale {
		r.room = job.Resources{}
		for _, w := range r.workers {
			if w.present {
				r.room = r.room.Max(w.available())
			}
		}
		r.stale = false
	}
	return need.Fits(r.room)
}
