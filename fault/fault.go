// Package fault defines the typed errors that rockdoor shows to callers and
// operators. Every error has a Kind, which programs switch on, and a remedy,
// which tells a person what to do next.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Its text is the stable code that callers see.
type Kind string

// Kinds of errors. Each says who has to act next, and how.
const (
	// Invalid means that the input is wrong and must be changed before it is sent again.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means that another writer has changed the state; read it again before the next
	// attempt.
	Conflict Kind = "conflict"
	// Unavailable means that the operation had no effect and may be retried later.
	Unavailable Kind = "unavailable"
	// Unknown means that it is not known whether the operation took effect.
	Unknown Kind = "unknown"
	// Exhausted means that a limit was reached; wait before retrying.
	Exhausted Kind = "exhausted"
	// Denied means that the credentials or the placement rules do not permit the operation.
	Denied Kind = "denied"
	// Internal means that rockdoor itself has a defect.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind classifies the error.
	Kind Kind
	// Msg states what went wrong.
	Msg string
	// Remedy states what the reader can do about it.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// New returns an error of the given kind.
func New(kind Kind, msg, remedy string) *Error {
	return &Error{Kind: kind, Msg: msg, Remedy: remedy}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Msg: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the given kind caused by err.
func Wrap(err error, kind Kind, msg, remedy string) *Error {
	return &Error{Kind: kind, Msg: msg, Remedy: remedy, Cause: err}
}

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	s := e.Msg
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += " (remedy: " + e.Remedy + ")"
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the outermost Error in err's chain, or Internal
// if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
