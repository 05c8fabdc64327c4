package main

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// bound is one measured value with its target.
type bound struct {
	// What says what was measured, with its unit.
	What string
	// Measured must be at most Limit, or at least Limit if AtLeast is set.
	Measured, Limit float64
	AtLeast         bool
	// Baseline says what the value is compared with, or is empty.
	Baseline string
}

func (b bound) met() bool {
	if b.AtLeast {
		return b.Measured >= b.Limit
	}
	return b.Measured <= b.Limit
}

// figure is one row of the table of figures in docs/design.md.
type figure struct {
	// ID is the row, such as "F2", and Name what it is about.
	ID, Name string
	// OnRequest keeps the figure out of runs that name none.
	OnRequest bool
	// Run measures. It writes its tables to out and returns the bounds.
	Run func(out io.Writer) ([]bound, error)
}

var figures []figure

// register adds a figure. Each figure registers itself from an init function in a file of its own, so that figures can
// be added side by side.
func register(f figure) { figures = append(figures, f) }

// selected returns the figures whose IDs are in ids, or all, in the order of their IDs.
func selected(ids []string) ([]figure, error) {
	sort.SliceStable(figures, func(i, j int) bool {
		a, b := figures[i].ID, figures[j].ID
		return len(a) < len(b) || (len(a) == len(b) && a < b)
	})
	var out []figure
	for _, f := range figures {
		if len(ids) == 0 && !f.OnRequest {
			out = append(out, f)
		}
	}
	for _, id := range ids {
		found := false
		for _, f := range figures {
			if f.ID == id {
				out, found = append(out, f), true
			}
		}
		if !found {
			return nil, fmt.Errorf("there is no figure %q", id)
		}
	}
	return out, nil
}

// report runs the figures and reports whether every bound was met.
func report(out io.Writer, list []figure) bool {
	allMet := true
	for _, f := range list {
		_, _ = fmt.Fprintf(out, "\n== %s: %s\n", f.ID, f.Name)
		bounds, err := f.Run(out)
		if err != nil {
			_, _ = fmt.Fprintf(out, "%s could not be measured: %v\n", f.ID, err)
			allMet = false
			continue
		}
		if !printBounds(out, f.ID, bounds) {
			allMet = false
		}
	}
	return allMet
}

func printBounds(out io.Writer, id string, bounds []bound) bool {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\twhat\ttarget\tmeasured\tbaseline\t")
	allMet := true
	for _, b := range bounds {
		sign, word := "<=", "met"
		if b.AtLeast {
			sign = ">="
		}
		if !b.met() {
			word, allMet = "not met", false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s %.4g\t%.4g\t%s\t%s\n", id, b.What, sign, b.Limit, b.Measured, b.Baseline, word)
	}
	_ = table.Flush()
	return allMet
}
