package main

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A violated bound or a measurement that returned an error must not be reported as a success.
func TestReportFailsOnBrokenBound(t *testing.T) {
	cases := []struct {
		name   string
		bounds []bound
		err    error
		want   bool
		word   string
	}{
		{"met", []bound{{Measured: 1, Limit: 1}, {Measured: 2, Limit: 1, AtLeast: true}}, nil, true, "met"},
		{"above", []bound{{Measured: 1.01, Limit: 1}, {Measured: 0, Limit: 1}}, nil, false, "not met"},
		{"below", []bound{{Measured: 0.99, Limit: 1, AtLeast: true}}, nil, false, "not met"},
		{"error", nil, errors.New("no result"), false, "could not be measured"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			run := func(io.Writer) ([]bound, error) { return c.bounds, c.err }
			assert.Equal(t, report(&out, []measurement{{ID: "F0", Run: run}}), c.want)
			assert.Assert(t, strings.Contains(out.String(), c.word), "%s", out.String())
		})
	}
}

// A measurement must not be silently left out, neither of a run of all measurements nor of a run that selects it by ID.
func TestSelected(t *testing.T) {
	all, err := selected(nil)
	assert.NilError(t, err)
	var ids []string
	for _, f := range all {
		ids = append(ids, f.ID)
	}
	joined := " " + strings.Join(ids, " ") + " "
	assert.Assert(t, strings.Contains(joined, " F2 F3 "), "%s", joined)
	named, err := selected([]string{"F2-probes"})
	assert.NilError(t, err)
	assert.Equal(t, len(named), 1)
	_, err = selected([]string{"F99"})
	assert.ErrorContains(t, err, "F99")
}
