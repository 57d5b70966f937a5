package teaseltack

import (
	"context"
	"time"
)

// HeaderField is one header line of a request or an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Payload is what the caller sent to the backend server.
type Payload struct {
	Verb string
	// Authority and Path are set where the backend server is reached by the
	// caller's own host and path; Path then includes the query.
	Authority string
	Path      string
	Query     string
	Headers   []HeaderField
	Body      []byte
}

// Call is one hop of a request, from an entry to a home.
type Call struct {
	ID     RequestID
	Nonce  Nonce
	Target Target
	// Caller is the service of the host where the call began, if it is told.
	Caller        Service
	Priority      Priority
	NonIdempotent bool
	Attempt       int
	// Deadline is in the time of the local timer service.
	Deadline time.Time
	Retries  Tokens
	Ticket   Ticket
	Key      string
	Payload  Payload
	// Confirm asks the entry, right before the dispatch, whether it still waits;
	// nil where entry and home are one host. False means that the call must not
	// run, since its entry may have sent it elsewhere.
	Confirm func(context.Context) bool
}

// Load is what a home tells of itself on every answer.
type Load struct {
	Level       Level
	NestedLevel Level
	InFlight    int
	Limit       int
	// Inner says that only backend servers call the method.
	Inner bool
}

// Answer is a home's word on one call: the whole answer of the backend server
// or a refusal.
type Answer struct {
	ID          RequestID
	Nonce       Nonce
	Refusal     *Refusal
	Status      int
	Headers     []HeaderField
	Body        []byte
	RetriesLeft Tokens
	Load        Load
	FreshTicket Ticket
	// Work is the time spent at the backend server.
	Work time.Duration
	// Waited is the time spent in queues, at the home and below it.
	Waited time.Duration
	// Faulty says that the server failed the call by itself and not because a
	// nested call failed.
	Faulty bool
}

// Verdict returns whether the call may have run.
func (a *Answer) Verdict() Verdict {
	if a.Refusal == nil {
		return Ran
	}
	return a.Refusal.Verdict
}

// IsError reports whether the answer is a refusal or tells of a server's error.
func (a *Answer) IsError() bool {
	const firstServerError = 500
	return a.Refusal != nil || a.Status >= firstServerError
}

// Policy is what operators say of one method.
type Policy struct {
	Target        Target
	Class         Class
	Lifetime      time.Duration
	NonIdempotent bool
	Retries       Tokens
	// Objective is the time within which an answer has its full worth; zero where
	// none is known.
	Objective time.Duration
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service     Service
	Address     string
	Slots       int
	Connections int
	Leaving     bool
}

// UnknownAttempt is the attempt of a request whose caller does not count its
// repeats.
const UnknownAttempt = -1

// Request is a request as a door received it, before any policy is applied.
type Request struct {
	ID     RequestID
	Target Target
	// Class is the class that the caller asks for, when ClassAsked is set.
	Class    Class
	ClassSet bool
	// Attempt counts the caller's own repeats from zero; UnknownAttempt when the
	// caller does not say.
	Attempt int
	// Lifetime is the time the caller gives; zero leaves it to the policy.
	Lifetime time.Duration
	// Retries is the number of retries the caller allows; negative leaves it to
	// the policy.
	Retries Tokens
	Ticket  Ticket
	Key     string
	// Parent is the context token of a nested call.
	Parent  string
	Nested  bool
	Payload Payload
}

// MayHaveRunEarlier reports whether an earlier attempt of the same request may have
// run through another daemon, so that a refusal by this one is no proof.
func (a *Request) MayHaveRunEarlier() bool {
	return (a.Ticket != "" || a.Key != "") && a.Attempt != 0
}
