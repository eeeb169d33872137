package registry

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
)

// The errors by which callers decide what to do next. Every error of a Client
// matches at most one of them with errors.Is.
var (
	// ErrUnavailable means that no usable answer came. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that another write came first. Nothing took effect.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the platform or the client refuses the request as it is.
	ErrRefused = errors.New("refused")
)

// Step names what the client was doing.
type Step string

// The steps of a client.
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
	// Peer is the URL of the platform.
	Peer string
	// Kind is ErrUnavailable, ErrConflict, ErrNotFound or ErrRefused.
	Kind error
	// Err is the cause; it may be nil.
	Err error

	current Version
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v: %v", e.Step, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Err}
}

// ConflictError tells that another publication came first. It matches ErrConflict.
type ConflictError struct {
	// Base is what the lost publication was made from.
	Base Head
	// Head and Winner are what is in force instead.
	Head   Head
	Winner config.Revised
}

// Error names the revision that won.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("revision %d was published after revision %d was read", e.Winner.Revision, e.Base.Revision)
	if e.Winner.Message != "" {
		text += fmt.Sprintf(" (%s)", e.Winner.Message)
	}
	return text
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
