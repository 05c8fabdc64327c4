package main

import (
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strconv"
)

func init() {
	register(measurement{ID: "F10", Name: "control per node, entry VM with 24 workers and 200 tasks", Run: runF10})
}

const (
	f10MaxCPU    = 2  // percent of a core
	f10MaxMemory = 32 // MB
	f10MaxBytes  = 24 // KB/s
)

// f10Line matches one daemon's line in the output of scripts/capacity.sh.
var f10Line = regexp.MustCompile(`(?m)^sched\s+cpu\s+([0-9.]+)% of a core, memory\s+([0-9.]+) MB,\s+([0-9.]+) KB/s`)

// runF10 measures the sched daemon that owns the cell. The entry daemon is left out, because it serves requests, which do
// not count as control; without requests it adds 0.3% of a core and 1.5 KB/s.
func runF10(out io.Writer) ([]bound, error) {
	log, err := exec.Command("bash", "scripts/capacity.sh", "24", "200", "10").CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("scripts/capacity.sh: %w: %s", err, log)
	}
	_, _ = out.Write(log)
	match := f10Line.FindSubmatch(log)
	if match == nil {
		return nil, fmt.Errorf("no line of the sched daemon in %s", log)
	}
	bounds := []bound{
		{What: "sched daemon, % of a core", Limit: f10MaxCPU},
		{What: "sched daemon, MB", Limit: f10MaxMemory},
		{What: "sched daemon, KB/s", Limit: f10MaxBytes},
	}
	for i := range bounds {
		if bounds[i].Measured, err = strconv.ParseFloat(string(match[i+1]), 64); err != nil {
			return nil, err
		}
	}
	return bounds, nil
}
