package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"reflect"

	"github.com/currantthread/currantthread/store"
)

// A progress row is JSON. If the job has so many entries that the row could become too large for the store, the row is the
// compact form of progress, as JSON compressed with gzip. Earlier builds can't decode such a row; they would misread an
// uncompressed one.

const (
	// maxPlainEntries and maxPlainBytes bound rows that are not compressed.
	maxPlainEntries = 1000
	maxPlainBytes   = store.MaxRowBytes / 2
	// maxDecodedBytes bounds the size of a row once it is decompressed. A hundred thousand units, each with a checkpoint of
	// a hundred bytes, are below it.
	maxDecodedBytes = 16 << 20
)

// gzipMagic begins each compressed row. JSON never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeProgress returns the job's progress row. If the row would still be too large in the compact form, it has no
// checkpoints, and j.checkpointsOmitted is set.
func encodeProgress(j *jobState) ([]byte, error) {
	j.checkpointsOmitted = false
	p := j.progress()
	if p.entries() <= maxPlainEntries {
		row, err := json.Marshal(p)
		if err != nil || len(row) <= maxPlainBytes {
			return row, err
		}
	}
	row, err := p.compact(true).compress()
	if err != nil || len(row) <= store.MaxRowBytes {
		return row, err
	}
	j.checkpointsOmitted = true
	return p.compact(false).compress()
}

// decodeProgress decodes a progress row of this or an earlier build.
func decodeProgress(row []byte) (progress, error) {
	var p progress
	row, err := decompress(row)
	if err != nil {
		return progress{}, err
	}
	if err := json.Unmarshal(row, &p); err != nil {
		return progress{}, err
	}
	if p.Compact {
		p.expand()
	}
	return p, nil
}

// entries returns the number of occurrences and units that the progress lists.
func (p *progress) entries() int {
	n := len(p.Done) + len(p.Occs)
	for i := range p.Occs {
		for k := range p.Occs[i].Steps {
			n += len(p.Occs[i].Steps[k].Units)
		}
	}
	return n
}

// compact returns the compact form of p. It shares no units with p.
func (p *progress) compact(checkpoints bool) *progress {
	compacted := *p
	compacted.Compact, compacted.Done, compacted.DoneRanges = true, nil, ranges(p.Done)
	compacted.Occs = make([]occProgress, len(p.Occs))
	previous := 0
	for i, o := range p.Occs {
		compacted.Occs[i] = occProgress{Number: o.Number - previous, Steps: make([]stepProgress, len(o.Steps))}
		previous = o.Number
		for k, s := range o.Steps {
			compacted.Occs[i].Steps[k] = stepProgress{Done: s.Done, Units: compacted.compactUnits(s.Units, checkpoints)}
		}
	}
	return &compacted
}

// compactUnits returns the compact form of the units of one step, and raises HighestRun to the run numbers of the units that
// it leaves out.
func (p *progress) compactUnits(units []unitProgress, checkpoints bool) []unitProgress {
	var kept []unitProgress
	previous := 0
	for _, u := range units {
		if !checkpoints {
			u.Checkpoint = ""
		}
		if u.hasOnlyRun() {
			p.HighestRun = max(p.HighestRun, u.Run)
			continue
		}
		u.Unit, previous = u.Unit-previous, u.Unit
		kept = append(kept, u)
	}
	return kept
}

// hasOnlyRun reports whether the entry has nothing but a run number.
func (u unitProgress) hasOnlyRun() bool {
	u.Unit, u.Run = 0, 0
	return reflect.ValueOf(u).IsZero()
}

// expand turns the differences of the compact form into numbers. DoneRanges and HighestRun stay as they are.
func (p *progress) expand() {
	number := 0
	for i := range p.Occs {
		number += p.Occs[i].Number
		p.Occs[i].Number = number
		for _, s := range p.Occs[i].Steps {
			unit := 0
			for k := range s.Units {
				unit += s.Units[k].Unit
				s.Units[k].Unit = unit
			}
		}
	}
	p.Compact = false
}

func (p *progress) compress() ([]byte, error) {
	encoded, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return compress(encoded)
}

// decompress returns the JSON of a row that may be compressed.
func decompress(row []byte) ([]byte, error) {
	if !bytes.HasPrefix(row, gzipMagic) {
		return row, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(row))
	if err != nil {
		return nil, err
	}
	if row, err = io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1)); err != nil {
		return nil, err
	}
	if len(row) > maxDecodedBytes {
		return nil, fmt.Errorf("has more than %d bytes once it is decompressed", maxDecodedBytes)
	}
	return row, nil
}

// compress returns a row in the compressed form.
func compress(encoded []byte) ([]byte, error) {
	var row bytes.Buffer
	writer := gzip.NewWriter(&row)
	if _, err := writer.Write(encoded); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return row.Bytes(), nil
}

// ranges returns the numbers of a sorted list in the form of progress.DoneRanges.
func ranges(numbers []int) [][2]int {
	var pairs [][2]int
	next := 0
	for _, n := range numbers {
		if n > next || len(pairs) == 0 {
			pairs = append(pairs, [2]int{n - next, 0})
		}
		pairs[len(pairs)-1][1]++
		next = n + 1
	}
	return pairs
}
