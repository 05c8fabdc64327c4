package sched

import (
	"math/bits"

	"github.com/currantthread/currantthread/job"
)

const (
	// subBits is the number of bits below the leading one that select a bucket: 8 buckets for each power of two.
	subBits     = 3
	bucketCount = 64 << subBits
	bucketWords = bucketCount / 64
)

// freeIndex holds workers in buckets by their available capacity on one axis. A search visits workers approximately in
// the order of best fit without sorting them.
type freeIndex struct {
	axis     func(job.Resources) int64
	id       indexID
	buckets  [bucketCount][]*worker
	nonEmpty [bucketWords]uint64
}

// indexID selects the slot of a worker that an index uses.
type indexID int

const (
	indexCPU indexID = iota
	indexAccelerators
	indexCount
)

// slot is the position of a worker in an index.
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

// ascend calls visit for each worker in buckets that may offer amount, smallest first, until visit returns false.
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

// descend is like ascend, but visits the largest buckets first.
func (x *freeIndex) descend(amount int64, visit func(*worker) bool) {
	for b := bucketCount - 1; b >= bucketOf(amount); b-- {
		for _, w := range x.buckets[b] {
			if !visit(w) {
				return
			}
		}
	}
}

// rack holds the workers of one rack. The replicas of a service are spread over racks.
type rack struct {
	name    string
	workers []*worker
	// maxFree is the largest available amount on each axis among the workers. It is out of date while stale is set.
	maxFree job.Resources
	stale   bool
	// index is the position in Scheduler.racks and in spread.replicas.
	index int
}

func (r *rack) add(w *worker) {
	w.rack, w.rackPos = r, len(r.workers)
	r.workers = append(r.workers, w)
	r.stale = true
}

func (r *rack) remove(w *worker) {
	last := r.workers[len(r.workers)-1]
	r.workers[w.rackPos] = last
	last.rackPos = w.rackPos
	r.workers = r.workers[:len(r.workers)-1]
	r.stale = true
}

// mayFit reports whether need could fit on some worker of the rack.
func (r *rack) mayFit(need job.Resources) bool {
	if r.stale {
		r.maxFree = job.Resources{}
		for _, w := range r.workers {
			if w.present {
				r.maxFree = r.maxFree.Max(w.available())
			}
		}
		r.stale = false
	}
	return need.Fits(r.maxFree)
}
