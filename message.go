package teaseltack

import (
	"context"
	"time"
)

// HeaderField is one header field of a request or an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Payload is the HTTP request that is passed on to the backend server.
type Payload struct {
	// Verb is the HTTP method.
	Verb string
	// Authority and Path are set where the request keeps the caller's host and
	// path; Path then includes the query.
	Authority string
	Path      string
	Query     string
	Headers   []HeaderField
	Body      []byte
	// Memory is what the request holds while it is received and answered. Who keeps the
	// body for longer retains it. It may be nil.
	Memory Memory
}

// Memory is memory that is counted while it is held.
type Memory interface {
	// Retain keeps the memory until one more call of Release.
	Retain()
	Release()
}

// Call is one hop of a request, from an entry to a home.
type Call struct {
	ID     RequestID
	Nonce  Nonce
	Target Target
	// Caller is the service of the host where the call began; empty if unknown.
	Caller        Service
	Priority      Priority
	NonIdempotent bool
	// CallerAttempt is the number of the caller's own attempt, as in Request.
	CallerAttempt int
	// Deadline is on the clock of the local Timers.
	Deadline time.Time
	Retries  Retries
	Ticket   Ticket
	Key      string
	Payload  Payload
	// ConfirmFirst requests the confirmation for an idempotent call; a non-idempotent
	// one always needs it.
	ConfirmFirst bool
	// Confirm asks the entry, right before the dispatch, whether it still waits for
	// the call. False means that the call must not run, since its entry may have
	// sent it to another home. It is set only for a call that needs a confirmation and
	// arrived over io/link; nil means that the call needs none.
	Confirm func(context.Context) bool
	// Again asks for the answer of an earlier non-idempotent call with the same nonce,
	// whose connection was lost after its entry had confirmed it. The home runs nothing
	// for it.
	Again bool
	// HomeIncarnation is the incarnation of the home that the entry knew when it sent
	// the earlier call; set with Again.
	HomeIncarnation Incarnation
	// Generation is the configuration by which the entry chose the target, 0 if the caller
	// named it.
	Generation Generation
}

// Load is the load that a home reports with every answer.
type Load struct {
	Level       Level
	NestedLevel Level
	InFlight    int
	Limit       int
	// ServersOnly is set if only backend servers call the method.
	ServersOnly bool
}

// MinStatus and MaxStatus bound the status of a backend server's final answer.
const (
	MinStatus = 200
	MaxStatus = 599
)

// Answer is a home's response to one call: the complete answer of the backend
// server or a refusal.
type Answer struct {
	ID          RequestID
	Nonce       Nonce
	Refusal     *Refusal
	Status      int
	Headers     []HeaderField
	Body        []byte
	RetriesLeft Retries
	Load        Load
	FreshTicket Ticket
	// Work is the time spent at the backend server.
	Work time.Duration
	// Waited is the time spent in queues, at the home and in nested calls.
	Waited time.Duration
	// Faulty is set when the server itself failed the call, rather than one of its
	// nested calls.
	Faulty bool
	// Generation is the configuration in force at the home, 0 if it was not sent.
	Generation Generation
	// Earlier is set in the answer to a call with Again if it is the result of the
	// earlier call, rather than of the question itself.
	Earlier bool
}

// Verdict returns whether the call may have run.
func (a *Answer) Verdict() Verdict {
	if a.Refusal == nil {
		return Ran
	}
	return a.Refusal.Verdict
}

// IsError reports whether the answer is a refusal or has a 5xx status.
func (a *Answer) IsError() bool {
	const firstServerError = 500
	return a.Refusal != nil || a.Status >= firstServerError
}

// Policy is the operators' configuration of one method.
type Policy struct {
	Target        Target
	Class         Class
	Lifetime      time.Duration
	NonIdempotent bool
	Retries       Retries
	// Objective is the time within which an answer has its full value; zero if there
	// is none.
	Objective time.Duration
}

// Announcement is the registration that a backend server sends to its daemon.
type Announcement struct {
	Service     Service
	Address     string
	Slots       int
	Connections int
	Leaving     bool
}

// UnknownAttempt is the attempt of a request whose caller does not number its
// attempts.
const UnknownAttempt = -1

// Request is a request as it was received, before any policy is applied.
type Request struct {
	ID     RequestID
	Target Target
	// Class is the class that the caller asked for; valid only if ClassSet.
	Class    Class
	ClassSet bool
	// CallerAttempt numbers the caller's own attempts from zero; UnknownAttempt if
	// the caller does not send it.
	CallerAttempt int
	// Lifetime is the time that the caller allows; zero selects the policy's.
	Lifetime time.Duration
	// Retries is the number of retries that the caller allows; negative selects the
	// policy's.
	Retries Retries
	Ticket  Ticket
	Key     string
	// Parent is the context token of a nested call.
	Parent string
	Nested bool
	// Generation is the configuration by which the target was chosen, 0 if the caller named
	// it.
	Generation Generation
	Payload    Payload
}

// MayHaveRunEarlier reports whether an earlier attempt of the same request may
// have run through another daemon, so that a refusal by this one does not prove
// that the request did not run.
func (r *Request) MayHaveRunEarlier() bool {
	return (r.Ticket != "" || r.Key != "") && r.CallerAttempt != 0
}
