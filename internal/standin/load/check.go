// Package load sends requests and jobs through a deployment and checks by counts whether the guarantees held.
package load

import (
	"fmt"
	"slices"

	"github.com/currantthread/currantthread/verdict"
)

// End is how one send of a request ended for its caller.
type End int

const (
	// NotSent means that no connection to an entry daemon was made.
	NotSent End = iota
	// NoAnswer means that the connection ended before the answer was complete.
	NoAnswer
	// Answered is a complete answer, also one that refuses.
	Answered
)

// Send is one time that a request was sent.
type Send struct {
	End    End
	Status int
	// Verdict is set if HasVerdict is.
	Verdict    verdict.Verdict
	HasVerdict bool
	// Number is the number that a reservation's answer holds.
	Number string
	// Wrong says how the answer differs from what the request must get; empty means that it does not.
	Wrong string
}

func (s Send) good() bool { return s.End == Answered && s.Status/100 == 2 }

func (s Send) refusedNotRun() bool {
	return s.End == Answered && s.HasVerdict && s.Verdict == verdict.NotRun
}

// Operation is one request of a caller. An operation with an idempotency key may be sent twice.
type Operation struct {
	// Token is part of the request, and runners count by it.
	Token      string
	Kind       string
	Idempotent bool
	Sends      []Send
}

// Violation is a guarantee that did not hold.
type Violation struct {
	Guarantee string `json:"guarantee"`
	Detail    string `json:"detail"`
}

// RequestReport counts operations and what was wrong with them.
type RequestReport struct {
	Sent          int `json:"sent"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	MayHaveRun    int `json:"may_have_run"`
	OtherAnswers  int `json:"other_answers"`
	NoAnswer      int `json:"no_answer"`
	NotSent       int `json:"not_sent"`
	// NonIdempotent counts operations that must run at most once, and RanTwice those of them that ran more often.
	NonIdempotent int `json:"non_idempotent"`
	RanTwice      int `json:"ran_twice"`
	// FalseRefusals counts operations refused as not run that ran.
	FalseRefusals int `json:"false_refusals"`
	// WrongAnswers counts answers that differ from what the request must get.
	WrongAnswers int `json:"wrong_answers"`
	// AnsweredNotRun counts operations that were answered with success and ran nowhere.
	AnsweredNotRun int `json:"answered_not_run"`
	// Unanswered counts idempotent operations that were neither answered by an upstream nor refused as not run.
	Unanswered int `json:"unanswered"`
	// NoVerdict counts answers without a verdict.
	NoVerdict int `json:"no_verdict"`

	Violations []Violation `json:"violations,omitempty"`
}

// unansweredIdempotent names the demand that an idempotent request is answered although an entry daemon or a runner dies.
const unansweredIdempotent = "idempotent requests answered"

// maxListed bounds the violations that are listed for each guarantee.
const maxListed = 5

// Check compares what callers were told with runs, which holds how often each operation ran, by its index.
func Check(operations []Operation, runs []int64) RequestReport {
	var report RequestReport
	listed := map[string]int{}
	violate := func(count *int, guarantee string, op Operation, format string, args ...any) {
		*count++
		listed[guarantee]++
		if listed[guarantee] <= maxListed {
			detail := fmt.Sprintf("%s %s: ", op.Kind, op.Token) + fmt.Sprintf(format, args...)
			report.Violations = append(report.Violations, Violation{guarantee, detail})
		}
	}
	for i, op := range operations {
		report.count(op)
		if !op.Idempotent && runs[i] > 1 {
			violate(&report.RanTwice, "G7", op, "ran %d times", runs[i])
		}
		if op.refused() && runs[i] > 0 {
			violate(&report.FalseRefusals, "G6", op, "refused as not run and ran %d times", runs[i])
		}
		if op.succeeded() && runs[i] == 0 {
			violate(&report.AnsweredNotRun, "G5", op, "answered and never ran")
		}
		if op.Idempotent && !op.answered() && !op.refused() {
			violate(&report.Unanswered, unansweredIdempotent, op, "none of %d sends was answered", len(op.Sends))
		}
		for _, s := range op.Sends {
			if s.Wrong != "" {
				violate(&report.WrongAnswers, "G5", op, "%s", s.Wrong)
			}
			if s.End == Answered && !s.HasVerdict {
				violate(&report.NoVerdict, "verdict", op, "answer with status %d has no verdict", s.Status)
			}
		}
		if numbers := op.numbers(); len(numbers) > 1 {
			violate(&report.WrongAnswers, "G7", op, "its answers have the numbers %v", numbers)
		}
	}
	return report
}

func (r *RequestReport) count(op Operation) {
	if !op.Idempotent {
		r.NonIdempotent++
	}
	for _, s := range op.Sends {
		r.Sent++
		switch {
		case s.End == NotSent:
			r.NotSent++
		case s.End == NoAnswer:
			r.NoAnswer++
		case s.good():
			r.Answered++
		case s.refusedNotRun():
			r.RefusedNotRun++
		case s.HasVerdict && s.Verdict == verdict.MayHaveRun:
			r.MayHaveRun++
		default:
			r.OtherAnswers++
		}
	}
}

// refused reports whether the caller was told of every send that it did not run.
func (op Operation) refused() bool {
	told := false
	for _, s := range op.Sends {
		if !s.refusedNotRun() && s.End != NotSent {
			return false
		}
		told = true
	}
	return told
}

// answered reports whether an upstream's answer reached the caller, whatever its status.
func (op Operation) answered() bool {
	return slices.ContainsFunc(op.Sends, func(s Send) bool {
		return s.End == Answered && s.HasVerdict && s.Verdict == verdict.Ran
	})
}

func (op Operation) succeeded() bool {
	for _, s := range op.Sends {
		if s.good() {
			return true
		}
	}
	return false
}

// numbers returns the different numbers in the answers to an operation.
func (op Operation) numbers() []string {
	var numbers []string
	for _, s := range op.Sends {
		if s.good() && s.Number != "" && (len(numbers) == 0 || numbers[0] != s.Number) {
			numbers = append(numbers, s.Number)
		}
	}
	return numbers
}
