package main

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// bound is a measured value together with its target.
type bound struct {
	// What names the measured quantity and its unit.
	What string
	// Measured must be at most Limit, or at least Limit if AtLeast is set.
	Measured, Limit float64
	AtLeast         bool
	// Baseline describes the value of a baseline, if there is one.
	Baseline string
}

func (b bound) satisfied() bool {
	if b.AtLeast {
		return b.Measured >= b.Limit
	}
	return b.Measured <= b.Limit
}

// measurement is one measurement of the table in docs/design.md.
type measurement struct {
	// ID is the identifier in that table, such as "F2"; Name is a short description.
	ID, Name string
	// OnRequest excludes the measurement from runs that select none by ID.
	OnRequest bool
	// Run takes the measurement. It writes its tables to out and returns the bounds.
	Run func(out io.Writer) ([]bound, error)
}

var measurements []measurement

// register adds a measurement. Each measurement registers itself from an init function in a separate file, so that
// parallel changes that add measurements do not conflict.
func register(f measurement) { measurements = append(measurements, f) }

// selected returns the measurements with the given IDs in the order of ids. Without ids it returns all that are not
// OnRequest, ordered by ID.
func selected(ids []string) ([]measurement, error) {
	sort.SliceStable(measurements, func(i, j int) bool {
		a, b := measurements[i].ID, measurements[j].ID
		return len(a) < len(b) || (len(a) == len(b) && a < b)
	})
	var out []measurement
	for _, f := range measurements {
		if len(ids) == 0 && !f.OnRequest {
			out = append(out, f)
		}
	}
	for _, id := range ids {
		found := false
		for _, f := range measurements {
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

// report takes the measurements, prints them, and reports whether all of them succeeded and satisfied their bounds.
func report(out io.Writer, list []measurement) bool {
	allSatisfied := true
	for _, f := range list {
		_, _ = fmt.Fprintf(out, "\n== %s: %s\n", f.ID, f.Name)
		bounds, err := f.Run(out)
		if err != nil {
			_, _ = fmt.Fprintf(out, "%s could not be measured: %v\n", f.ID, err)
			allSatisfied = false
			continue
		}
		if !printBounds(out, f.ID, bounds) {
			allSatisfied = false
		}
	}
	return allSatisfied
}

func printBounds(out io.Writer, id string, bounds []bound) bool {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\twhat\ttarget\tmeasured\tbaseline\t")
	allSatisfied := true
	for _, b := range bounds {
		sign, word := "<=", "met"
		if b.AtLeast {
			sign = ">="
		}
		if !b.satisfied() {
			word, allSatisfied = "not met", false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s %.4g\t%.4g\t%s\t%s\n", id, b.What, sign, b.Limit, b.Measured, b.Baseline, word)
	}
	_ = table.Flush()
	return allSatisfied
}
