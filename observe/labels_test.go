package observe

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Names beyond the bound share one value, so that clients can't add series without end.
func TestLabelsAreBounded(t *testing.T) {
	l := NewLabels(2)
	for _, name := range []string{"a", "b", "a"} {
		assert.Equal(t, l.Value(name), name)
	}
	assert.Equal(t, l.Value("c"), "other")
	assert.Equal(t, l.Value("b"), "b")
}
