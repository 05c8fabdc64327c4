// Package intake defines the service behind clients' requests about jobs: submission, state, cancellation and counts of
// pending jobs. Package node implements it, and package platform calls it from its HTTP handlers.
package intake

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/workload"
)

// Outcome is the outcome of a submission.
type Outcome uint8

// Outcomes of a submission.
const (
	// Unknown means that the job may have been accepted; the client must retry with the same ID.
	Unknown Outcome = iota
	// Accepted means that the job is durable.
	Accepted
	// Refused means that the job was not accepted and will not run because of this submission.
	Refused
	// Conflict means that a job of another organisation has the ID. The submission changed nothing.
	Conflict
)

// Decision is the response to a submission.
type Decision struct {
	Outcome Outcome
	// Cell is the cell that has the job.
	Cell string
	// Reason explains a refusal or an unknown outcome.
	Reason string
	// RetryAfter is the time until capacity is expected; 0 if unknown.
	RetryAfter time.Duration
}

// Service handles clients' requests about jobs.
type Service interface {
	// Catalog returns the active configuration, or nil while there is none.
	Catalog() *catalog.Config
	// Submit accepts a job or refuses it. It is idempotent: a job whose ID was accepted before is accepted again, without
	// effect, unless it belongs to another organisation.
	Submit(ctx context.Context, job *workload.Job) Decision
	// State returns a job's state; found is false if no such job exists, or if it belongs to another organisation than the
	// caller's. An empty organisation may read all jobs.
	State(ctx context.Context, jobID, organisation string) (state workload.State, found bool, err error)
	// Cancel ends a job and returns once that is durable; found is false, and nothing is changed, if no such job exists, or if it
	// belongs to another organisation than the caller's. An empty organisation may cancel all jobs.
	Cancel(ctx context.Context, jobID, organisation string) (found bool, err error)
	// Pending returns the number of a queue's accepted jobs of which no task has started; known is false while some of
	// them can't be counted.
	Pending(queue string) (count int, known bool)
}
