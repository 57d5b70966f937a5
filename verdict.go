package teaseltack

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run at a backend server.
type Verdict uint8

// The verdicts. The zero value makes no promise.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

var verdictNames = [...]string{"may-have-run", "not-run", "ran"}

// String returns the verdict's name in headers and logs.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[MayHaveRun]
	}
	return verdictNames[v]
}

// Reason names the cause of a refusal in kebab case.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest     Reason = "bad-request"
	ReasonTooLarge       Reason = "too-large"
	ReasonUnknownTarget  Reason = "unknown-target"
	ReasonNoServer       Reason = "no-server"
	ReasonOverload       Reason = "overload"
	ReasonPressure       Reason = "pressure"
	ReasonEvicted        Reason = "evicted"
	ReasonLifetime       Reason = "lifetime"
	ReasonCancelled      Reason = "cancelled"
	ReasonLeaving        Reason = "leaving"
	ReasonNotReady       Reason = "not-ready"
	ReasonWrongHost      Reason = "wrong-host"
	ReasonTicketInvalid  Reason = "ticket-invalid"
	ReasonTicketExpired  Reason = "ticket-expired"
	ReasonTicketOther    Reason = "ticket-of-other-incarnation"
	ReasonTicketsFull    Reason = "tickets-full"
	ReasonKeyMismatch    Reason = "key-reused-with-other-request"
	ReasonPlatform       Reason = "platform-unreachable"
	ReasonClaimRate      Reason = "claim-rate"
	ReasonConnection     Reason = "connection-lost"
	ReasonServer         Reason = "server-unreachable"
	ReasonServerShed     Reason = "server-shed"
	ReasonAnswerMismatch Reason = "answer-mismatch"
	ReasonAnswerCut      Reason = "answer-cut"
	ReasonDuplicate      Reason = "duplicate"
	ReasonAnswerDropped  Reason = "answer-dropped"
	// ReasonConfiguration is the reason of a call whose entry chose the service by an older
	// configuration than the home's, which does not send the request there.
	ReasonConfiguration Reason = "configuration-changed"
)

// Refusal is the error of a call that has no answer. It carries the verdict.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the reason, the verdict and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// Refuse returns a refusal with the verdict NotRun.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal with the verdict MayHaveRun.
func Uncertain(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// AsUncertain returns the refusal with MayHaveRun in place of NotRun.
func (r *Refusal) AsUncertain() *Refusal {
	if r.Verdict != NotRun {
		return r
	}
	uncertain := *r
	uncertain.Verdict = MayHaveRun
	return &uncertain
}

// AsRefusal returns the refusal in err's chain; any other error becomes one with
// the verdict MayHaveRun.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Uncertain(ReasonConnection, "%v", err)
}
