package dispatch

import (
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/store"
)

// The census shows accepted jobs and tasks that no state of the owner has, which no line about waiting tasks can name. It costs no
// calls: each commit records in the ownership row how many jobs the cell stores then, and the next owner compares this with the
// rows that it reads.

// jobGap is how accepted jobs are missing in the owner's state. It is the value of the label gap.
type jobGap string

const (
	// gapUnread: the previous owner recorded more jobs than this one has read.
	gapUnread jobGap = "unread"
	// gapNoRow: the job has progress and has not ended, but its own row was not read.
	gapNoRow jobGap = "no_row"
	// gapIndexed: the index names this cell for a job that was submitted again, but the owner's state does not have it.
	gapIndexed jobGap = "indexed"
	// gapUndecoded: the job's rows can't be decoded.
	gapUndecoded jobGap = "undecoded"
	// gapDropped: the job is stored, but the owner's state no longer has it.
	gapDropped jobGap = "dropped"
	// gapNoTasks: the job has not ended, and has neither an open task nor one to come.
	gapNoTasks jobGap = "no_tasks"
)

var jobGaps = []jobGap{gapUnread, gapNoRow, gapIndexed, gapUndecoded, gapDropped, gapNoTasks}

// taskHolder is what has a task that the cell knows. It is the value of the label holder.
type taskHolder string

const (
	holderBlocked taskHolder = "blocked"
	holderReady   taskHolder = "ready"
	holderActive  taskHolder = "active"
	holderDone    taskHolder = "done"
	// holderRemote: another cell has the task, or it is offered to one.
	holderRemote taskHolder = "remote"
)

var taskHolders = map[phase]taskHolder{phaseBlocked: holderBlocked, phaseReady: holderReady, phaseActive: holderActive,
	phaseDone: holderDone, phaseRemote: holderRemote}

// Values of the label state of jobs.
const (
	jobsQueued  = "queued"
	jobsRunning = "running"
	jobsEnded   = "ended"
	// jobsHosted have been accepted by another cell and have not ended.
	jobsHosted = "hosted"
)

var jobStates = []string{jobsQueued, jobsRunning, jobsEnded, jobsHosted}

// maxNamedJobs bounds the jobs named in one line.
const maxNamedJobs = 5

// census is what the owner knows of the jobs that the store has for its cell.
type census struct {
	// rows is the number of stored jobs as of the last commit that was applied.
	rows int
	// recorded is the number of jobs that the previous owner recorded; 0 if it recorded none.
	recorded int
	// read is the number of jobs that this owner has read, and undecoded how many of them could not be restored.
	read, undecoded int
	// withoutRow are jobs with gapNoRow.
	withoutRow []string
	// indexed are jobs with gapIndexed.
	indexed map[string]bool
	// reported is what the last line said.
	reported map[jobGap]int
}

// countRead counts the rows that a new owner has read and restored. The caller holds mu.
func (c *Cell) countRead(defs, progressRows []store.Row) {
	c.census.read, c.census.rows = len(defs), len(defs)
	c.census.undecoded = len(defs) - len(c.jobs)
	stored := make(map[string]bool, len(defs))
	for _, row := range defs {
		stored[row.Key.Name] = true
	}
	for _, row := range progressRows {
		if stored[row.Key.Name] {
			continue
		}
		if p, err := decodeProgress(row.Value); err == nil && !p.State.Terminal() {
			c.census.withoutRow = append(c.census.withoutRow, row.Key.Name)
		}
	}
}

// maxIndexedJobs bounds the jobs that are remembered with gapIndexed.
const maxIndexedJobs = 1000

// countIndexed counts a submitted job for which the index names this cell. The caller holds mu.
func (c *Cell) countIndexed(id string) {
	if c.jobs[id] == nil && len(c.census.indexed) < maxIndexedJobs {
		c.census.indexed[id] = true
	}
}

// storedJobs returns the number of stored jobs once a batch is applied. The caller holds mu.
func (c *Cell) storedJobs(b *batch) int {
	jobs := c.census.rows + len(b.submissions) - len(b.expired)
	for _, bj := range b.jobs {
		for _, t := range bj.transfers {
			if t.jobRow != nil {
				jobs++
			}
		}
	}
	return jobs
}

// gaps compares the stored jobs with those in memory. withoutTasks are jobs with gapNoTasks. The caller holds mu.
func (c *Cell) gaps(withoutTasks int) map[jobGap]int {
	held := 0
	for _, j := range c.jobs {
		// The row of a job that is being taken over from another cell is not stored yet.
		if j.origin == "" || j.rowVersion != 0 {
			held++
		}
	}
	gaps := map[jobGap]int{}
	for gap, jobs := range map[jobGap]int{gapUnread: c.census.recorded - c.census.read, gapNoRow: len(c.census.withoutRow), gapIndexed: len(c.census.indexed),
		gapUndecoded: c.census.undecoded, gapDropped: c.census.rows - c.census.undecoded - held, gapNoTasks: withoutTasks} {
		if jobs > 0 {
			gaps[gap] = jobs
		}
	}
	return gaps
}

// reportGaps writes a line if the jobs that are missing have changed. The caller holds mu.
func (c *Cell) reportGaps(gaps map[jobGap]int, withoutTasks []string) {
	changed := false
	fields := logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "recorded": c.census.recorded, "read": c.census.read,
		"stored": c.census.rows, "jobs": len(c.jobs)}
	for _, gap := range jobGaps {
		changed = changed || gaps[gap] != c.census.reported[gap]
		fields[string(gap)] = gaps[gap]
	}
	if !changed {
		return
	}
	c.census.reported = gaps
	if len(gaps) == 0 {
		c.cfg.Log.WithFields(fields).Info("no accepted jobs are missing in the owner's state any more")
		return
	}
	named := slices.Sorted(slices.Values(slices.Concat(c.census.withoutRow, slices.Collect(maps.Keys(c.census.indexed)), withoutTasks)))
	fields["requests"] = strings.Join(named[:min(len(named), maxNamedJobs)], " ")
	c.cfg.Log.WithFields(fields).Error("accepted jobs are missing in the owner's state")
}

// censusScan counts jobs and tasks in one check for waiting tasks.
type censusScan struct {
	jobs map[string]int
	// tasks counts tasks by the phases of their units.
	tasks [phaseRemote + 1]int
	// withoutTasks are jobs with gapNoTasks.
	withoutTasks []string
}

// holders counts tasks by what has them.
func (s *censusScan) holders() map[taskHolder]int {
	holders := make(map[taskHolder]int, len(taskHolders))
	for phase, holder := range taskHolders {
		holders[holder] = s.tasks[phase]
	}
	return holders
}

// job counts a job, of which open tells whether it has a unit that is not done.
func (s *censusScan) job(j *jobState, open bool) {
	switch {
	case j.state.Terminal():
		s.jobs[jobsEnded]++
		return
	case j.origin != "":
		s.jobs[jobsHosted]++
		return
	case j.started:
		s.jobs[jobsRunning]++
	default:
		s.jobs[jobsQueued]++
	}
	if !open && j.nextOcc >= j.def.Occurrences {
		s.withoutTasks = append(s.withoutTasks, j.def.ID)
	}
}

// hasHost reports whether a unit that is not in this cell's hands is in those of another cell, or on its way between the two.
func (u *unit) hasHost() bool {
	for _, t := range u.job.transfers {
		if slices.Contains(t.units, u) {
			return true
		}
	}
	if u.job.origin != "" {
		return !u.held
	}
	return u.host != "" && u.job.hosts[u.host]
}
