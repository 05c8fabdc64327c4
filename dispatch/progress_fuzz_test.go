package dispatch

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/workload"
)

// storedJob returns the row of a job with two occurrences of two steps, the second of which is a gang.
func storedJob(t testing.TB, change func(def *workload.Job)) []byte {
	t.Helper()
	def := &workload.Job{ID: "5c0e7a21d94b36f8", Occurrences: 2, StartAt: time.UnixMilli(1), Interval: time.Second,
		Steps: []workload.Step{{Count: 10, Estimated: time.Second}, {Count: 3, Gang: true, After: []int{0}}}}
	if change != nil {
		change(def)
	}
	row, err := json.Marshal(def)
	assert.NilError(t, err)
	return row
}

// damagedJobRows are job rows that can't be scheduled.
func damagedJobRows(t testing.TB) map[string][]byte {
	t.Helper()
	return map[string][]byte{
		"empty":         nil,
		"null":          []byte("null"),
		"not JSON":      []byte("\x00\x01"),
		"deeply nested": []byte(strings.Repeat(`{"steps":`, 20_000)),
		"no steps":      storedJob(t, func(def *workload.Job) { def.Steps = nil }),
		"negative count": storedJob(t, func(def *workload.Job) {
			def.Steps[0].Count = -1
		}),
		"huge count":          storedJob(t, func(def *workload.Job) { def.Steps[0].Count = 1 << 60 }),
		"no tasks":            storedJob(t, func(def *workload.Job) { def.Steps[0].Count = 0 }),
		"unknown step":        storedJob(t, func(def *workload.Job) { def.Steps[1].After = []int{7} }),
		"negative step":       storedJob(t, func(def *workload.Job) { def.Steps[1].After = []int{-1} }),
		"cycle":               storedJob(t, func(def *workload.Job) { def.Steps[0].After = []int{1} }),
		"no occurrences":      storedJob(t, func(def *workload.Job) { def.Occurrences = 0 }),
		"huge occurrences":    storedJob(t, func(def *workload.Job) { def.Occurrences = 1 << 60 }),
		"negative interval":   storedJob(t, func(def *workload.Job) { def.Interval = -1 }),
		"number out of range": []byte(strings.Replace(string(storedJob(t, nil)), `"occ":2`, `"occ":1e400`, 1)),
	}
}

// A damaged job row must not end the process that takes its cell over, and the next one after it.
func TestDamagedJobRows(t *testing.T) {
	for name, row := range damagedJobRows(t) {
		t.Run(name, func(t *testing.T) {
			_, err := restore(row, nil)
			assert.Assert(t, err != nil)
		})
	}
	_, err := restore(storedJob(t, nil), nil)
	assert.NilError(t, err)
}

// damagedProgressRows are progress rows of storedJob with entries that name nothing.
var damagedProgressRows = map[string]string{
	"negative unit":           `{"b":true,"n":1,"o":[{"s":[{"u":[{"i":-1,"r":3}]}]}]}`,
	"unknown unit":            `{"n":1,"o":[{"s":[{"u":[{"i":10,"r":3},{"i":99999999999,"r":3}]}]}]}`,
	"negative run":            `{"n":1,"o":[{"s":[{"u":[{"i":1,"r":-3,"f":-1}]}]}]}`,
	"largest run":             `{"n":1,"o":[{"s":[{"u":[{"i":1,"r":9223372036854775807,"f":9223372036854775807}]}]}]}`,
	"short bitmap":            `{"n":1,"o":[{"s":[{"d":"/w=="}]}]}`,
	"long bitmap":             `{"n":1,"o":[{"s":[{"d":"AAAA/////////w=="}]}]}`,
	"many steps":              `{"n":1,"o":[{"s":[{},{},{},{},{}]}]}`,
	"no steps":                `{"n":1,"o":[{"s":null}]}`,
	"negative occurrence":     `{"n":1,"o":[{"k":-1,"s":[]}],"d":[-5]}`,
	"unknown occurrence":      `{"n":1,"o":[{"k":2,"s":[]}],"d":[9223372036854775807]}`,
	"occurrence twice":        `{"n":2,"o":[{"s":[]},{"s":[]},{"k":1,"s":[]}]}`,
	"open and done":           `{"n":2,"o":[{"s":[]}],"d":[0,0]}`,
	"largest next":            `{"n":9223372036854775807}`,
	"negative next":           `{"n":-7}`,
	"next beyond occurrences": `{"n":5,"o":[{"s":[]}]}`,
	"missing occurrence":      `{"n":2,"o":[{"k":1,"s":[]}]}`,
	"unknown state":           `{"s":"asleep","n":1,"o":[{"s":[]}]}`,
	"null":                    `null`,
	"negative range":          `{"n":1,"x":true,"e":[[-1,1]],"o":[{"s":[]}]}`,
	"largest ranges":          `{"n":1,"x":true,"e":[[9223372036854775807,9223372036854775807],[1,9223372036854775807]],"o":[{"s":[]}]}`,
	"largest differences":     `{"n":1,"x":true,"o":[{"k":9223372036854775807,"s":[{"u":[{"i":9223372036854775807},{"i":9223372036854775807}]}]},{"k":9223372036854775807}]}`,
	"largest run of a job":    `{"n":1,"x":true,"m":9223372036854775807,"o":[{"s":[]}]}`,
	"negative run of a job":   `{"n":1,"x":true,"m":-5,"o":[{"s":[]}]}`,
	"all tasks done":          `{"n":1,"o":[{"s":[{"d":"/wM="},{"d":"AQ=="}]}]}`,
}

// checkRestored asserts that each occurrence that is not done is open or is still created, and that the state can be stored
// again.
func checkRestored(t *testing.T, j *jobState) {
	t.Helper()
	_, err := encodeProgress(j)
	assert.NilError(t, err)
	if j.state.Terminal() {
		assert.Assert(t, !j.finishedAt.IsZero() && !j.finishedAt.After(time.Now()))
		return
	}
	assert.Assert(t, j.nextOcc >= 0 && j.nextOcc <= j.def.Occurrences)
	assert.Assert(t, len(j.doneOccs) < j.def.Occurrences)
	for number := range j.nextOcc {
		assert.Assert(t, j.doneOccs[number] || j.occs[number] != nil, "occurrence %d never runs", number)
	}
	for number, occ := range j.occs {
		assert.Assert(t, number >= 0 && number < j.nextOcc)
		for i := range occ.steps {
			left := 0
			for _, u := range occ.steps[i].units {
				assert.Assert(t, u.run >= 0 && u.run <= maxRestoredRun && u.fails >= 0)
				if u.phase != phaseDone {
					left++
				}
			}
			assert.Equal(t, occ.steps[i].left, left)
		}
	}
}

// resumeRestored makes a restored job part of a cell and creates its due occurrences.
func resumeRestored(t *testing.T, j *jobState) {
	t.Helper()
	c := newCell(Config{Log: observe.NewLogger(io.Discard, "test", "n"), Metrics: NewMetrics(prometheus.NewRegistry()),
		IndexPart: func(string) string { return "" }}, 1)
	c.jobs[j.def.ID] = j
	c.resume(j)
	c.createDueOccurrences(time.UnixMilli(1))
	c.createDueOccurrences(time.UnixMilli(1).Add(time.Hour))
	if j.state.Terminal() {
		return
	}
	tasks := 0
	for i := range j.def.Steps {
		tasks += j.def.Steps[i].Count
	}
	if j.def.Occurrences*tasks <= maxOpenTasks {
		assert.Equal(t, j.nextOcc, j.def.Occurrences)
	}
	ready := 0
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				if u.phase == phaseReady {
					ready++
				}
			}
		}
	}
	assert.Assert(t, ready > 0, "the job never ends")
}

// Of a damaged progress row the entries that name something are used. The others ended the process with an index out of
// range at each takeover, or left a job that never ends.
func TestDamagedProgressRows(t *testing.T) {
	for name, row := range damagedProgressRows {
		t.Run(name, func(t *testing.T) {
			j, err := restore(storedJob(t, nil), []byte(row))
			assert.NilError(t, err)
			checkRestored(t, j)
			resumeRestored(t, j)
		})
	}
	j, err := restore(storedJob(t, nil), []byte(`{"b":true,"n":1,"o":[{"s":[{"d":"AQ==","u":[{"i":-1},{"i":3,"r":2,"c":"x"}]}]}]}`))
	assert.NilError(t, err)
	units := j.occs[0].steps[0].units
	assert.Assert(t, j.started && units[0].phase == phaseDone)
	assert.Equal(t, units[3].run, 2)
	assert.Equal(t, units[3].checkpoint, "x")
}

// The state of a job that has ended is kept for the retention, also if its end time is not stored.
func TestEndTimeThatIsMissing(t *testing.T) {
	for _, row := range []string{`{"s":"completed"}`, `{"s":"failed","f":-1}`, `{"s":"cancelled","f":9223372036854775807}`} {
		j, err := restore(storedJob(t, nil), []byte(row))
		assert.NilError(t, err)
		assert.Assert(t, j.state.Terminal())
		assert.Assert(t, time.Since(j.finishedAt) < time.Minute, "%v", j.finishedAt)
	}
}

// No pair of rows makes a takeover panic, and a job that is restored can end.
func FuzzRestore(f *testing.F) {
	for _, row := range damagedJobRows(f) {
		f.Add(row, []byte(nil))
	}
	for _, row := range damagedProgressRows {
		f.Add(storedJob(f, nil), []byte(row))
	}
	f.Add(storedJob(f, nil), []byte(`{"s":"completed","f":1}`))
	f.Add(storedJob(f, nil), []byte(`{"b":true,"n":2,"d":[0],"o":[{"k":1,"s":[{"d":"/wM="},{"u":[{"i":0,"r":2,"f":1,"l":[1],"c":"x"}]}]}]}`))
	f.Fuzz(func(t *testing.T, defRow, progressRow []byte) {
		j, err := restore(defRow, progressRow)
		if err != nil {
			return
		}
		checkRestored(t, j)
		if tasks := j.def.Occurrences * len(j.def.Steps); tasks < 100 && j.def.StartAt.Before(time.UnixMilli(2)) && j.def.Interval < time.Second {
			resumeRestored(t, j)
		}
	})
}
