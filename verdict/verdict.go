// Package verdict says whether a request may have run at an upstream, and carries that answer through errors and headers.
package verdict

import (
	"errors"
	"fmt"
)

// Header is the answer header that tells a caller the verdict on its request.
const Header = "Currantthread-Verdict"

// Verdict says whether a request may have run. The zero value is MayHaveRun, so a verdict that nobody set never
// promises that a request did not run.
type Verdict uint8

const (
	// MayHaveRun means that bytes of the request left this process and no answer settled the outcome.
	MayHaveRun Verdict = iota
	// NotRun means that no byte left, or that the upstream refused the request before running it.
	NotRun
	// Ran means that the upstream answered the request.
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

// Parse reads the form used in Header. An unknown value is an error and reads as MayHaveRun.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if s == v.String() {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict %q is none of not-run, may-have-run, ran", s)
}

// Code names the reason of a refusal or failure in a form that programs can match.
type Code string

// Error is a failed or refused request together with its verdict.
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
