package ctl

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// Exit codes of dragonflyctl. Scripts rely on them.
const (
	ExitOK = 0
	// ExitFailure reports an unexpected error; see the message.
	ExitFailure = 1
	// ExitUsage reports wrong arguments or settings.
	ExitUsage = 2
	// ExitNotFound reports that the record, request or daemon does not exist.
	ExitNotFound = 3
	// ExitConflict reports that another operator's change came first; nothing
	// was changed.
	ExitConflict = 4
	// ExitRefused reports that the document or the condition was not accepted.
	ExitRefused = 5
	// ExitUnavailable reports that no daemon could execute the command; nothing
	// was changed.
	ExitUnavailable = 6
	// ExitUnknown reports that the change may or may not be in force.
	ExitUnknown = 7
	// ExitUnauthorized reports a missing or wrong admin token.
	ExitUnauthorized = 8
	// ExitDifferent reports that diff found a difference.
	ExitDifferent = 10
)

// Errors of the commands. Each has its own exit code.
var (
	ErrUsage        = merry.Sentinel("wrong arguments")
	ErrNotFound     = merry.Sentinel("not found")
	ErrConflict     = merry.Sentinel("another change came first")
	ErrRefused      = merry.Sentinel("refused")
	ErrUnavailable  = merry.Sentinel("nobody could do this now")
	ErrUnknown      = merry.Sentinel("the outcome is unknown")
	ErrUnauthorized = merry.Sentinel("the admin token is missing or wrong")
	ErrDifferent    = merry.Sentinel("the records differ")
)

var exitCodes = []struct {
	err  error
	code int
}{
	{ErrUsage, ExitUsage},
	{ErrNotFound, ExitNotFound},
	{ErrConflict, ExitConflict},
	{ErrRefused, ExitRefused},
	{ErrUnavailable, ExitUnavailable},
	{ErrUnknown, ExitUnknown},
	{ErrUnauthorized, ExitUnauthorized},
	{ErrDifferent, ExitDifferent},
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return ExitFailure
}

// advisedError is an error with advice on what to do next.
type advisedError struct {
	err    error
	advice string
}

func (a *advisedError) Error() string { return a.err.Error() }
func (a *advisedError) Unwrap() error { return a.err }

func withAdvice(err error, advice string) error { return &advisedError{err: err, advice: advice} }

func adviceOf(err error) string {
	var a *advisedError
	if errors.As(err, &a) {
		return a.advice
	}
	if errors.Is(err, ErrUsage) {
		return "see dragonflyctl --help"
	}
	return "check the daemon's log and try again"
}
