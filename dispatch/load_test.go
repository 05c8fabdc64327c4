package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/quota"
)

// All nodes read the load of each cell, so it must not have what only owners of cells need: that is most of its bytes.
func TestLoadWithoutPlaces(t *testing.T) {
	places, pieces := map[string][]int{"s": {1}}, map[string][]Piece{"s": {{}}}
	load := Load{Cell: "c0", Epoch: 1, Free: 2, LongRunningCapacity: 3, Pending: map[string]int{"q": 1}, ExcessMs: map[string]int64{"o": 1},
		Places: places, LongRunningPlaces: places, Pieces: pieces, LongRunningPieces: pieces, Organisations: map[string]quota.Demand{"o": {}}}
	want := Load{Cell: "c0", Epoch: 1, Free: 2, LongRunningCapacity: 3, Pending: load.Pending, ExcessMs: load.ExcessMs}
	assert.DeepEqual(t, load.WithoutPlaces(), want)
}
