// Package intake defines what a client's request about jobs needs: acceptance, state, cancellation and counts. Package
// platform speaks to clients and calls it; package node implements it.
package intake

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/workload"
)

// Outcome is what became of a submission.
type Outcome uint8

// Outcomes of a submission.
const (
	// Unknown means that the job may have been accepted; the client asks again with the same ID.
	Unknown Outcome = iota
	// Accepted means that the job is durable.
	Accepted
	// Refused means that the job was not accepted and never runs by this submission.
	Refused
)

// Decision is the answer to a submission.
type Decision struct {
	Outcome Outcome
	// Cell is the cell that has the job.
	Cell string
	// Reason explains a refusal or an unknown outcome.
	Reason string
	// RetryAfter is when room is expected; 0 if it is not known.
	RetryAfter time.Duration
}

// Service answers clients.
type Service interface {
	// Catalog returns the configuration in force, or nil while there is none.
	Catalog() *catalog.Config
	// Submit accepts a job or refuses it. A job whose ID was accepted before is accepted again, without effect.
	Submit(ctx context.Context, job *workload.Job) Decision
	// State returns a job's state; found is false if no such job exists.
	State(ctx context.Context, jobID string) (state workload.State, found bool, err error)
	// Cancel ends a job and returns once that is durable; found is false if no such job exists.
	Cancel(ctx context.Context, jobID string) (found bool, err error)
	// Pending returns the number of a queue's accepted jobs of which no task has started; known is false while some of
	// them can't be counted.
	Pending(queue string) (count int, known bool)
}
