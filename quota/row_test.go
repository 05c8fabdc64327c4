package quota

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A row of another writer must be refused as a whole: a cell that applied a part of it would acknowledge limits that it does not know.
func TestOddRowsAreRefused(t *testing.T) {
	for _, value := range []string{``, `{`, `null`, `{}`, `{"config":3,"cells":{}}`, `[]`, `{"cap":[-1,0,0]}`, `{"cap":[1e30,0,0]}`,
		`{"cap":[2000000000000000,0,0]}`,
		`{"cap":[1,0,0],"cells":{"c0":{"limit":[-1,0,0]}}}`, `{"cap":[1,0,0],"cells":{"c0":{"limit":[0,0,0],"before":[-2,0,0]}}}`,
		`{"cap":["1",0,0]}`, `{"cells":{"c0":7}}`} {
		_, err := Decode([]byte(value))
		assert.Assert(t, err != nil, value)
	}
}

// The stored form must not change: owners of an earlier or later build read the rows too.
func TestStoredFormOfRows(t *testing.T) {
	row := Row{Config: 12, Cap: Amounts{900, 0, 8}, Cells: map[string]Share{"c0": {Limit: Amounts{1, 2, 3}}, "c1": {Before: &unbounded}}}
	value, err := row.Encode()
	assert.NilError(t, err)
	want := `{"config":12,"cap":[900,0,8],"cells":{"c0":{"limit":[1,2,3]},"c1":{"limit":[0,0,0],"before":[-1,-1,-1]}}}`
	assert.Equal(t, string(value), want)
	decoded, err := Decode([]byte(strings.ReplaceAll(want, `"config"`, `"later":1,"config"`)))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, row)
}
