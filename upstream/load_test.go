package upstream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/upstream"
)

// Valid loads must be parsed correctly, and malformed ones must be invalid.
func TestParseLoad(t *testing.T) {
	for value, want := range map[string]upstream.Load{
		"inflight=3,slots=8,queue=1":       {InFlight: 3, Slots: 8, Queue: 1, Valid: true},
		"queue=2, inflight=1":              {InFlight: 1, Queue: 2, Valid: true},
		"inflight=3,colour=red":            {InFlight: 3, Valid: true},
		"":                                 {},
		"colour=red":                       {},
		"inflight":                         {},
		"inflight=-1":                      {},
		"inflight=3,slots=":                {},
		"inflight=99999999999999999999999": {},
	} {
		assert.Equal(t, upstream.ParseLoad(value), want, "%q", value)
	}
}

// The header of a faulty upstream must not make the parser panic or return numbers out of bounds.
func FuzzParseLoad(f *testing.F) {
	f.Add("inflight=3,slots=8,queue=1")
	f.Add("inflight=,slots=8")
	f.Add("a=b=c, ,=")
	f.Fuzz(func(t *testing.T, value string) {
		load := upstream.ParseLoad(value)
		for _, n := range []int{load.InFlight, load.Slots, load.Queue} {
			if n < 0 || n > 1<<20 || (!load.Valid && n != 0) {
				t.Fatalf("%q reads as %+v", value, load)
			}
		}
	})
}
