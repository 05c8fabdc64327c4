package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// numbered returns the labels of the tasks of a job.
func numbered(job, tasks int) []string {
	labels := make([]string, tasks)
	for i := range labels {
		labels[i] = fmt.Sprintf("%d.%d", job, i)
	}
	return labels
}

// Wide batch steps at 2.4 times the usual rate: in the order of latest starts alone, the last tasks of many begun steps waited behind the first
// tasks of others, so that few jobs ended in time.
func TestTasksThatCompleteAStepGoFirst(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		// jobs have the given numbers of tasks, of which the first ones have started. Each has a later objective than the one before.
		jobs [][2]int
		// prepare changes the units that wait.
		prepare func(s *stuckCell, waiting [][]*unit)
		want    []string
	}{
		"the last fourth of a step goes first": {jobs: [][2]int{{4, 0}, {8, 6}}, want: []string{"1.6", "1.7", "0.0", "0.1", "0.2", "0.3"}},
		"a step that has just begun does not":  {jobs: [][2]int{{2, 0}, {8, 5}}, want: []string{"0.0", "0.1", "1.5", "1.6", "1.7"}},
		"narrow steps go by their objectives":  {jobs: [][2]int{{1, 0}, {1, 0}, {2, 1}}, want: []string{"0.0", "1.0", "2.1"}},
		"of two nearly done by the objective":  {jobs: [][2]int{{8, 7}, {4, 3}}, want: []string{"0.7", "1.3"}},
		"a repeated task goes before its step": {jobs: [][2]int{{4, 0}}, prepare: func(_ *stuckCell, w [][]*unit) { w[0][2].run = 1 },
			want: []string{"0.2", "0.0", "0.1", "0.3"}},
		"narrow jobs go before wide ones of about the same objective": {jobs: [][2]int{{60, 0}, {2, 0}, {3, 0}},
			want: append([]string{"1.0", "1.1", "2.0", "2.1", "2.2"}, numbered(0, 60)...)},
		"wide jobs are not postponed for ever": {jobs: [][2]int{{40, 0}, {2, 0}}, prepare: func(s *stuckCell, w [][]*unit) {
			w[1][0].job.objective = s.now.Add(12*second + time.Millisecond)
		}, want: append(numbered(0, 40), "1.0", "1.1")},
		"late ones don't go before those in time": {jobs: [][2]int{{2, 0}, {8, 6}}, prepare: func(s *stuckCell, w [][]*unit) {
			j := w[1][0].job
			j.objective = s.now.Add(-2 * second)
			j.def.AcceptedAt = j.objective.Add(-10 * second)
		}, want: []string{"0.0", "0.1", "1.6", "1.7"}},
		"priority goes first": {jobs: [][2]int{{2, 0}, {8, 6}}, prepare: func(_ *stuckCell, w [][]*unit) { w[1][0].job.def.Policy.Priority = 2 },
			want: []string{"0.0", "0.1", "1.6", "1.7"}},
		"restarts of long-running tasks stay first": {jobs: [][2]int{{8, 6}, {2, 0}}, prepare: func(_ *stuckCell, w [][]*unit) {
			w[1][0].def().LongRunning, w[1][0].run, w[1][1].run = true, 1, 1
		}, want: []string{"1.0", "1.1", "0.6", "0.7"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			s.ready = nil
			label := map[*unit]string{}
			waiting := make([][]*unit, len(test.jobs))
			for i, job := range test.jobs {
				units := s.add(workload.Step{Count: job[0], Estimated: second, Resources: workload.Resources{CPU: 1_000}})
				units[0].job.objective = s.now.Add(time.Duration(10+i) * second)
				for _, u := range units[job[1]:] {
					label[u] = fmt.Sprintf("%d.%d", i, u.first)
					waiting[i] = append(waiting[i], u)
				}
			}
			for _, units := range waiting {
				for _, u := range units {
					s.makeReady(u)
				}
			}
			if test.prepare != nil {
				test.prepare(s, waiting)
			}
			s.sortReady(s.now)
			var order []string
			for _, u := range s.ready {
				order = append(order, label[u])
			}
			assert.DeepEqual(t, order, test.want)
		})
	}
}

// A unit that is done may stay in the queue until the next plan although its occurrence was removed.
func TestOrderIgnoresUnitsOfRemovedOccurrences(t *testing.T) {
	s := newStuckCell(t)
	u := s.unit()
	assert.Equal(t, s.ready[0], u)
	u.phase = phaseDone
	delete(s.job.occs, 0)
	s.rankReady()
}
