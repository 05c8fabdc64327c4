package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// scheduledJob returns a job with open occurrences.
func scheduledJob(occurrences int, steps ...workload.Step) *jobState {
	j := newJobState(&workload.Job{ID: "00000000000000aa", Occurrences: workload.MaxOccurrences, StartAt: time.UnixMilli(1),
		Interval: time.Second, Steps: steps})
	for number := range occurrences {
		j.newOccurrence(number)
	}
	j.nextOcc = occurrences
	return j
}

// restoreAgain encodes and restores a job.
func restoreAgain(t *testing.T, j *jobState) (row []byte, restored *jobState) {
	t.Helper()
	row, err := encodeProgress(j)
	assert.NilError(t, err)
	assert.Assert(t, len(row) <= store.MaxRowBytes, "%d bytes", len(row))
	def, err := json.Marshal(j.def)
	assert.NilError(t, err)
	restored, err = restore(def, row)
	assert.NilError(t, err)
	return row, restored
}

// assertSameProgress asserts that a restored job has the progress of the encoded one, and that its run numbers are not lower.
func assertSameProgress(t *testing.T, restored, j *jobState, checkpoints bool) {
	t.Helper()
	assert.DeepEqual(t, restored.doneOccs, j.doneOccs)
	assert.Equal(t, restored.nextOcc, j.nextOcc)
	for number, occ := range j.occs {
		if j.doneOccs[number] {
			continue
		}
		for i := range occ.steps {
			assert.Equal(t, restored.occs[number].steps[i].left, occ.steps[i].left)
			for k, u := range occ.steps[i].units {
				got := restored.occs[number].steps[i].units[k]
				assert.Equal(t, got.phase == phaseDone, u.phase == phaseDone)
				if u.phase == phaseDone {
					continue
				}
				assert.Assert(t, u.run <= 1 || got.run >= u.run, "run %d, was %d", got.run, u.run)
				assert.Equal(t, got.fails, u.fails)
				assert.Assert(t, slices.Equal(got.failedRuns, u.failedRuns))
				if checkpoints {
					assert.Equal(t, got.checkpoint, u.checkpoint)
				}
			}
		}
	}
}

// Rows that are too large for plain JSON are restored as they were stored.
func TestCompactProgress(t *testing.T) {
	step := workload.Step{Count: 1, Estimated: time.Second}
	for name, build := range map[string]func() *jobState{
		"runs": func() *jobState {
			j := scheduledJob(2, workload.Step{Count: 5000, Estimated: time.Second}, workload.Step{Count: 2000, After: []int{0}})
			for i, u := range j.occs[0].steps[0].units {
				u.run = 9 + i%3
				if i%5 == 0 {
					u.phase = phaseDone
					j.occs[0].steps[0].left--
				}
			}
			return j
		},
		"failures": func() *jobState {
			j := scheduledJob(1, workload.Step{Count: workload.MaxTasks, Estimated: time.Second})
			for i, u := range j.occs[0].steps[0].units {
				u.run, u.fails, u.failedRuns = 10+i%7, 1, []int{9 + i%7}
			}
			return j
		},
		"checkpoints": func() *jobState {
			j := scheduledJob(1, workload.Step{Count: 2000, Estimated: time.Second})
			for i, u := range j.occs[0].steps[0].units {
				u.run, u.checkpoint = 1, fmt.Sprintf("%x", i*7919)
			}
			return j
		},
		"every other occurrence done": func() *jobState {
			j := scheduledJob(20_000, step)
			for number := 0; number < 20_000; number += 2 {
				j.doneOccs[number] = true
			}
			return j
		},
		"open occurrences": func() *jobState { return scheduledJob(5000, step, step) },
		"first occurrence open": func() *jobState {
			j := scheduledJob(20_000, step)
			for number := 1; number < 20_000; number++ {
				j.doneOccs[number] = true
			}
			return j
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := build()
			row, restored := restoreAgain(t, j)
			assert.Assert(t, bytes.HasPrefix(row, gzipMagic))
			assert.Assert(t, !j.checkpointsOmitted)
			assertSameProgress(t, restored, j, true)
			// The next owner stores what it has restored.
			_, restored = restoreAgain(t, restored)
			assertSameProgress(t, restored, j, true)
		})
	}
}

// A compressed row that is damaged is an error, and one that decompresses to more than any job needs is not read to its end.
func TestDamagedCompressedRows(t *testing.T) {
	large, err := (&progress{Services: []string{strings.Repeat("x", maxDecodedBytes)}}).compress()
	assert.NilError(t, err)
	for name, row := range map[string][]byte{
		"header only": gzipMagic,
		"truncated":   large[:len(large)/2],
		"too large":   large,
		"not gzip":    append(slices.Clone(gzipMagic), "text"...),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := restore(storedJob(t, nil), row)
			assert.Assert(t, err != nil)
		})
	}
}

// Checkpoints that don't fit into a row are left out, and stored again once they fit.
func TestProgressWithoutCheckpoints(t *testing.T) {
	j := scheduledJob(1, workload.Step{Count: 3, Estimated: time.Second})
	random := uint32(1)
	units := j.occs[0].steps[0].units
	for _, u := range units {
		var checkpoint strings.Builder
		for checkpoint.Len() < store.MaxRowBytes {
			random = random*1664525 + 1013904223
			fmt.Fprintf(&checkpoint, "%x", random)
		}
		u.run, u.fails, u.failedRuns, u.checkpoint = 4, 1, []int{3}, checkpoint.String()
	}
	_, restored := restoreAgain(t, j)
	assert.Assert(t, j.checkpointsOmitted)
	assertSameProgress(t, restored, j, false)
	for _, u := range units {
		u.checkpoint = "x"
	}
	_, restored = restoreAgain(t, j)
	assert.Assert(t, !j.checkpointsOmitted)
	assertSameProgress(t, restored, j, true)
}

// The row of a job with few entries is one that earlier builds can read.
func TestSmallProgressIsPlain(t *testing.T) {
	j := scheduledJob(3, workload.Step{Count: 100, Estimated: time.Second})
	for _, u := range j.occs[2].steps[0].units {
		u.run = 9
	}
	j.doneOccs[0], j.doneOccs[1] = true, true
	row, restored := restoreAgain(t, j)
	assert.Assert(t, bytes.HasPrefix(row, []byte("{")))
	assertSameProgress(t, restored, j, true)
}

// The row of a host keeps what the origin needs to take a returned task back, in each form.
func TestProgressOfReturnedTasks(t *testing.T) {
	for _, tasks := range []int{4, 2 * maxPlainEntries} {
		j := newHostedJob(&Delegation{Origin: "c0", Job: &workload.Job{ID: "00000000000000aa", Occurrences: 1,
			Steps: []workload.Step{{Count: tasks, Estimated: time.Second, LongRunning: true}}}})
		units := j.occs[0].steps[0].units
		for _, u := range units {
			u.run, u.held, u.phase = 1, true, phaseReady
		}
		returned, confirmed, held := units[0], units[1], units[2]
		returned.phase, returned.held, returned.run, returned.checkpoint, returned.returnedAt = phaseRemote, false, 7, "half", time.Now()
		confirmed.phase, confirmed.held = phaseRemote, false
		row, restored := restoreAgain(t, j)
		p, err := decodeProgress(row)
		assert.NilError(t, err)
		assert.Equal(t, p.Compact || p.HighestRun > 0, tasks > maxPlainEntries)
		got := p.unit(returned)
		assert.Assert(t, got.Run == 7 && got.Checkpoint == "half" && got.Returned && !got.Held, "%+v", got)
		got = p.unit(confirmed)
		assert.Assert(t, got.Run >= 1 && !got.Returned && !got.Held, "%+v", got)
		assert.Assert(t, p.holds(held))
		restoredUnits := restored.occs[0].steps[0].units
		assert.Assert(t, restoredUnits[0].isReturned() && restoredUnits[0].returnDurable && restoredUnits[0].phase == phaseRemote)
		assert.Assert(t, !restoredUnits[1].isReturned() && restoredUnits[1].phase == phaseRemote)
		assert.Assert(t, !restoredUnits[2].isReturned() && restoredUnits[2].held)
	}
}
