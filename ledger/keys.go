// Package ledger defines the keys and values of the rows that the system keeps in the table service, and a Writer that
// applies each transaction at most once and finds out whether it was applied, even if responses are lost.
package ledger

import (
	"fmt"

	"github.com/currantthread/currantthread/job"
)

// AnyDomain is the queue of tasks that may run in every failure domain.
const AnyDomain = "any"

// JobKey returns the key of the row of a job.
func JobKey(jobID string) string { return "job/" + jobID }

// JobPrefix is the prefix of all job rows.
const JobPrefix = "job/"

// CancelKey returns the key of the row whose presence cancels a job.
func CancelKey(jobID string) string { return "cancel/" + jobID }

// CancelPrefix is the prefix of all cancellations.
const CancelPrefix = "cancel/"

// QueuePrefix returns the prefix of the queue of one failure domain or of AnyDomain.
func QueuePrefix(domain string) string { return "queue/" + domain + "/" }

// QueueKey returns the key of the row of a queued task. Rows sort by priority, then by task ID.
func QueueKey(domain string, priority job.Priority, task job.TaskID) string {
	return fmt.Sprintf("%s%02d/%s", QueuePrefix(domain), priority, task)
}

// QueueKeyOf returns the key of the row under which t is queued.
func QueueKeyOf(t job.Task) string {
	domain := t.Spec.Constraints.Domain
	if domain == "" {
		domain = AnyDomain
	}
	return QueueKey(domain, t.Spec.Priority, t.ID)
}

// CellOwnerKey returns the key of the ownership row of a cell.
func CellOwnerKey(cell string) string { return "cell/" + cell + "/owner" }

// CellTaskPrefix returns the prefix of the assigned tasks of a cell.
func CellTaskPrefix(cell string) string { return "cell/" + cell + "/task/" }

// CellTaskKey returns the key of the row of a task assigned in a cell.
func CellTaskKey(cell string, task job.TaskID) string { return CellTaskPrefix(cell) + string(task) }

// DonePrefix returns the prefix of the finished tasks of a job.
func DonePrefix(jobID string) string { return "done/" + jobID + "/" }

// DoneKey returns the key of the row of a finished task.
func DoneKey(task job.TaskID) string { return "done/" + string(task) }

// DomainKey returns the key of the row that says whether a failure domain is in or out.
func DomainKey(domain string) string { return "domain/" + domain }

// DomainPrefix is the prefix of all failure domain rows.
const DomainPrefix = "domain/"

// ClaimKey returns the key of the row of an idempotency claim. digest is a hash of the key in hexadecimal.
func ClaimKey(service, digest string) string { return "claim/" + service + "/" + digest }

// SettingsVersionKey is the key of the row with the version of the active settings.
const SettingsVersionKey = "settings/version"

// SettingsHistoryPrefix is the prefix of the accepted versions.
const SettingsHistoryPrefix = "settings/history/"

// SettingsHistoryKey returns the key of the row of one accepted version. Rows sort by version.
func SettingsHistoryKey(version int64) string {
	return fmt.Sprintf("%s%012d", SettingsHistoryPrefix, version)
}

// ScheduleRunKey returns the key of the row that marks one civil run of a schedule as submitted. run is a civil date
// and time.
func ScheduleRunKey(schedule, run string) string { return "schedule/" + schedule + "/" + run }

func markerKey(writer string) string { return "marker/" + writer }
