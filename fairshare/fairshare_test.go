package fairshare

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var cores100 = Amounts{Processors: 100, Memory: 1000}

// take hands out all items, charges those that fit into the capacity, and returns how many of each organisation were charged.
func take(o *Order[string], free int64, amount func(name string) Amounts) map[string]int {
	got := map[string]int{}
	for name, ok := o.Next(); ok; name, ok = o.Next() {
		if a := amount(name); a[Processors] <= free {
			free -= a[Processors]
			got[name]++
			o.Charge(a)
		}
	}
	return got
}

// Each case guards against a division that depends on who sends most, or on what was held in the past.
func TestCapacityIsDividedByWeight(t *testing.T) {
	type org struct {
		weight  float64
		used    int64
		waiting int
	}
	cases := map[string]struct {
		organisations map[string]org
		free          int64
		want          map[string]int
	}{
		"equal weights, one sends 7 times its usual": {map[string]org{"a": {1, 0, 700}, "b": {1, 0, 100}}, 100, map[string]int{"a": 50, "b": 50}},
		"weights of 3 and 1":                         {map[string]org{"a": {3, 0, 200}, "b": {1, 0, 200}}, 100, map[string]int{"a": 75, "b": 25}},
		"what one leaves unused is lent":             {map[string]org{"a": {1, 0, 200}, "b": {1, 0, 10}}, 100, map[string]int{"a": 90, "b": 10}},
		"what was lent comes back first":             {map[string]org{"a": {1, 80, 200}, "b": {1, 0, 200}}, 20, map[string]int{"b": 20}},
		"a small one beside a large one":             {map[string]org{"large": {50, 50, 900}, "small": {1, 0, 1}}, 1, map[string]int{"small": 1}},
		"first tasks after idleness claim no past":   {map[string]org{"a": {1, 50, 200}, "idle": {1, 0, 200}}, 50, map[string]int{"idle": 50}},
		"a weight of 0 counts as 1":                  {map[string]org{"a": {0, 0, 200}, "b": {1, 0, 200}}, 100, map[string]int{"a": 50, "b": 50}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := NewOrder[string](cores100)
			for name, org := range c.organisations {
				o.Open(name, org.weight, Amounts{Processors: org.used})
				for range org.waiting {
					o.Push(name, name)
				}
			}
			got := take(o, c.free, func(string) Amounts { return Amounts{Processors: 1} })
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Shares follow the resource of which an organisation takes most, here the memory of one and the processors of the other.
func TestShareFollowsDominantResource(t *testing.T) {
	o := NewOrder[string](Amounts{Processors: 90, Memory: 180})
	for range 30 {
		o.Push("memory", "memory")
		o.Push("processors", "processors")
	}
	amounts := map[string]Amounts{"memory": {1, 4, 0}, "processors": {3, 1, 0}}
	got := map[string]int{}
	var used Amounts
	for name, ok := o.Next(); ok; name, ok = o.Next() {
		if used.Add(amounts[name])[Processors] > 90 || used.Add(amounts[name])[Memory] > 180 {
			break
		}
		used = used.Add(amounts[name])
		got[name]++
		o.Charge(amounts[name])
	}
	// 30 x 4 of 180 and 20 x 3 of 90 are both 2/3.
	assert.DeepEqual(t, got, map[string]int{"memory": 30, "processors": 20})
}

// With one organisation, and among equals that hold nothing, items come in the order in which they were pushed.
func TestOneOrganisationKeepsItsOrder(t *testing.T) {
	o := NewOrder[int](cores100)
	for i := range 10 {
		o.Push("", i)
	}
	for i := range 10 {
		got, ok := o.Next()
		assert.Assert(t, ok)
		assert.Equal(t, got, i)
		o.Charge(Amounts{Processors: int64(i)})
	}
	_, ok := o.Next()
	assert.Assert(t, !ok)
}

// An item counts as overtaken only by an item of another organisation that was pushed after it.
func TestOvertaken(t *testing.T) {
	o := NewOrder[string](cores100)
	o.Open("a", 1, Amounts{Processors: 50})
	for _, name := range []string{"a1", "b1", "a2", "b2"} {
		o.Push(name[:1], name)
	}
	var got []string
	for name, ok := o.Next(); ok; name, ok = o.Next() {
		got = append(got, fmt.Sprint(name, " ", o.Overtaken()))
		o.Charge(Amounts{Processors: 1})
	}
	assert.DeepEqual(t, got, []string{"b1 false", "b2 false", "a1 true", "a2 true"})
	o.Push("a", "a3")
	_, _ = o.Next()
	assert.Assert(t, !o.Overtaken())
}

// A limit of 0 means none.
func TestExceeded(t *testing.T) {
	assert.Equal(t, Exceeded(Amounts{5, 5, 5}, Amounts{}), -1)
	assert.Equal(t, Exceeded(Amounts{5, 5, 5}, Amounts{5, 4, 1}), Memory)
}

// A plan of a full cell has 10,000 waiting units of 62 organisations.
func BenchmarkOrder(b *testing.B) {
	names := make([]string, 62)
	for i := range names {
		names[i] = fmt.Sprint("org", i)
	}
	for b.Loop() {
		o := NewOrder[int](Amounts{Processors: 1_000_000})
		for i := range 10_000 {
			o.Push(names[i%len(names)], i)
		}
		for _, ok := o.Next(); ok; _, ok = o.Next() {
			o.Charge(Amounts{Processors: 100})
		}
	}
}
