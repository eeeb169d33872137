package registry

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
)

// The kinds of errors that a Client returns. With errors.Is, an error matches at
// most one of them.
var (
	// ErrUnavailable means that there was no usable response. A write may have taken
	// effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that the write had no effect because another write preceded
	// it.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the platform or the client rejected the request as
	// invalid. A retry would fail again.
	ErrRefused = errors.New("refused")
)

// Step is the operation in which a call failed.
type Step string

// The operations of a client.
const (
	StepHead       Step = "read head"
	StepWatch      Step = "watch head"
	StepFetch      Step = "fetch revision"
	StepStore      Step = "store revision"
	StepAdvance    Step = "advance head"
	StepHosts      Step = "list hosts"
	StepRegister   Step = "register host"
	StepDeregister Step = "deregister host"
	StepPrune      Step = "prune revisions"
)

// Error is a failed call.
type Error struct {
	Step Step
	// URL is the root of the platform's API.
	URL string
	// Kind is ErrUnavailable, ErrConflict, ErrNotFound or ErrRefused.
	Kind error
	// Err is the cause; it may be nil.
	Err error

	current Version
}

// Error returns the step, the URL, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s at %s: %v", e.Step, e.URL, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v: %v", e.Step, e.URL, e.Kind, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Err}
}

// ConflictError means that another publication preceded this one. It matches
// ErrConflict.
type ConflictError struct {
	// Base is the head on which the refused publication was based.
	Base Head
	// Head and Winner are the head and the revision that are in force instead.
	Head   Head
	Winner config.PublishedSet
}

// Error returns the revision that is in force and the one that was read.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("revision %d was published after revision %d was read", e.Winner.Revision, e.Base.Revision)
	if e.Winner.Message != "" {
		text += fmt.Sprintf(" (%s)", e.Winner.Message)
	}
	return text
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
