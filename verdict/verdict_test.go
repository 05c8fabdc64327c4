package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/verdict"
)

// Guards against an error without a verdict being reported to a caller as "not run".
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	assert.Equal(t, verdict.Of(errors.New("connection reset")), verdict.MayHaveRun)
	assert.Equal(t, verdict.Of(&verdict.Error{Err: errors.New("unset")}), verdict.MayHaveRun)
	wrapped := fmt.Errorf("dial: %w", verdict.New(verdict.NotRun, "dial-failed", "refused"))
	assert.Equal(t, verdict.Of(wrapped), verdict.NotRun)
	assert.Equal(t, verdict.Of(nil), verdict.Ran)
}

// Guards against a header value that one side writes and the other cannot read.
func TestParseRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		parsed, err := verdict.Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, v)
	}
	parsed, err := verdict.Parse("maybe")
	assert.ErrorContains(t, err, "maybe")
	assert.Equal(t, parsed, verdict.MayHaveRun)
}
