// Package verdict defines the verdict on a request: whether it ran, may have run or did not run at an upstream. Only
// after the verdict NotRun can a caller repeat a request that is not idempotent without running it twice. Errors and a
// response header carry the verdict.
package verdict

import (
	"errors"
	"fmt"
)

// Header is the response header with the verdict on the caller's request.
const Header = "Currantthread-Verdict"

// Verdict says whether a request may have run. The zero value is MayHaveRun, so that an unset verdict never claims that a
// request did not run.
type Verdict uint8

const (
	// MayHaveRun means that bytes of the request were sent and no response resolved the outcome.
	MayHaveRun Verdict = iota
	// NotRun means that no byte was sent, or that the upstream refused the request before running it.
	NotRun
	// Ran means that the upstream responded to the request.
	Ran
)

// String returns the form used in Header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the form used in Header. For an unknown value it returns MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if s == v.String() {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict %q is none of not-run, may-have-run, ran", s)
}

// Code is the machine-readable reason of a refusal or failure.
type Code string

// Error is the error of a failed or refused request, with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	// Err is the cause. It is never nil in errors made by New and Wrap.
	Err error
}

// New returns an Error with a formatted cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Err: fmt.Errorf(format, args...)}
}

// Wrap returns an Error that carries err as its cause.
func Wrap(v Verdict, code Code, err error) *Error {
	return &Error{Verdict: v, Code: code, Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries, Ran for nil, and MayHaveRun for an error without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var verdictErr *Error
	if errors.As(err, &verdictErr) {
		return verdictErr.Verdict
	}
	return MayHaveRun
}
