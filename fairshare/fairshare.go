// Package fairshare divides the capacity of a cell among organisations in proportion to their weights, by weighted dominant resource fairness
// (Ghodsi et al. 2011): the next task comes from the organisation whose largest share of any resource is lowest relative to its weight
// (progressive filling). Shares count what is held now, so an organisation can't claim capacity that it left unused earlier. The package
// does no I/O and is not safe for concurrent use.
package fairshare

import "container/heap"

// Amounts is an amount of processors, memory and accelerators. Amounts that are compared must have the same units.
type Amounts [3]int64

// Indexes of Amounts.
const (
	Processors = iota
	Memory
	Accelerators
)

// Add returns a + b.
func (a Amounts) Add(b Amounts) Amounts {
	for d := range a {
		a[d] += b[d]
	}
	return a
}

// Dominant returns the largest share of a resource that used is of total. Resources of which there is none are left out.
func Dominant(used, total Amounts) float64 {
	largest := 0.0
	for d := range used {
		if total[d] > 0 {
			largest = max(largest, float64(used[d])/float64(total[d]))
		}
	}
	return largest
}

// Share returns the dominant share divided by the weight. A weight that is not positive counts as 1.
func Share(used, total Amounts, weight float64) float64 {
	return Dominant(used, total) / positive(weight)
}

func positive(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// Exceeded returns the index of the first resource of which amount is more than limit, or -1. A limit of 0 means none.
func Exceeded(amount, limit Amounts) int {
	for d := range amount {
		if limit[d] > 0 && amount[d] > limit[d] {
			return d
		}
	}
	return -1
}

// Lowest returns the index of the first of n candidates with the lowest share, or -1. share returns false for a candidate that does not
// compete.
func Lowest(n int, share func(i int) (share float64, competes bool)) int {
	best, lowest := -1, 0.0
	for i := range n {
		if s, competes := share(i); competes && (best < 0 || s < lowest) {
			best, lowest = i, s
		}
	}
	return best
}

// Order hands out the waiting items of organisations: each time the first one of the organisation with the lowest share, and of equal shares the one
// that was pushed first. Handing out an item takes time logarithmic in the number of organisations.
type Order[T any] struct {
	total         Amounts
	organisations map[string]*organisation[T]
	waiting       organisationHeap[T]
	pushed        int
	// last is where the item that was handed out last comes from, and lastNumber its number.
	last       *organisation[T]
	lastNumber int
	// charged is the charged item with the highest number, and chargedOther the one with the highest number of another organisation.
	charged, chargedOther numbered[T]
}

// numbered is a pushed item as its organisation and its number; the zero value stands for none.
type numbered[T any] struct {
	from   *organisation[T]
	number int
}

type organisation[T any] struct {
	weight float64
	used   Amounts
	share  float64
	items  []item[T]
	// index is the position in the heap; -1 if no items wait.
	index int
}

type item[T any] struct {
	value  T
	number int
}

// NewOrder returns an order without organisations for a total capacity.
func NewOrder[T any](total Amounts) *Order[T] {
	return &Order[T]{total: total, organisations: map[string]*organisation[T]{}}
}

// Open adds an organisation and what it holds, unless it was added before.
func (o *Order[T]) Open(name string, weight float64, used Amounts) {
	if o.organisations[name] == nil {
		o.organisations[name] = &organisation[T]{weight: weight, used: used, share: Share(used, o.total, weight), index: -1}
	}
}

// Push adds an item to the queue of an organisation. One that was not opened holds nothing and has the weight 1.
func (o *Order[T]) Push(name string, value T) {
	from := o.organisations[name]
	if from == nil {
		o.Open(name, 1, Amounts{})
		from = o.organisations[name]
	}
	o.pushed++
	from.items = append(from.items, item[T]{value, o.pushed})
	if from.index < 0 {
		heap.Push(&o.waiting, from)
	}
}

// Next removes and returns the next item; ok is false if none waits.
func (o *Order[T]) Next() (value T, ok bool) {
	if len(o.waiting) == 0 {
		return value, false
	}
	from := o.waiting[0]
	first := from.items[0]
	from.items = from.items[1:]
	if len(from.items) == 0 {
		heap.Remove(&o.waiting, from.index)
	} else {
		heap.Fix(&o.waiting, from.index)
	}
	o.last, o.lastNumber = from, first.number
	return first.value, true
}

// Charge counts an amount as held by the organisation of the item that Next returned last.
func (o *Order[T]) Charge(amount Amounts) {
	from := o.last
	if from == nil {
		return
	}
	from.used = from.used.Add(amount)
	from.share = Share(from.used, o.total, from.weight)
	if from.index >= 0 {
		heap.Fix(&o.waiting, from.index)
	}
	charged := numbered[T]{from, o.lastNumber}
	switch {
	case charged.number > o.charged.number:
		if o.charged.from != from {
			o.chargedOther = o.charged
		}
		o.charged = charged
	case from != o.charged.from && charged.number > o.chargedOther.number:
		o.chargedOther = charged
	}
}

// Overtaken reports whether an item of another organisation that was pushed after the one that Next returned last was handed out
// before it and charged.
func (o *Order[T]) Overtaken() bool {
	other := o.charged
	if other.from == o.last {
		other = o.chargedOther
	}
	return other.number > o.lastNumber
}

// organisationHeap orders organisations with waiting items by share, then by the number of the first item.
type organisationHeap[T any] []*organisation[T]

func (h organisationHeap[T]) Len() int { return len(h) }
func (h organisationHeap[T]) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].items[0].number < h[j].items[0].number
}
func (h organisationHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *organisationHeap[T]) Push(x any) {
	from := x.(*organisation[T])
	from.index = len(*h)
	*h = append(*h, from)
}

// Pop implements heap.Interface.
func (h *organisationHeap[T]) Pop() any {
	old := *h
	from := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	from.index = -1
	return from
}
