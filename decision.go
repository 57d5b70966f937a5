package teaseltack

import "time"

// Step names the kind of a decision about a request.
type Step string

// The steps.
const (
	// StepRefused is a request that an entry refused before forwarding it, or a
	// call whose final refusal at an entry or a home has the verdict not-run.
	StepRefused Step = "refused"
	// StepMoved is a refused call that may go to another home without using a
	// retry.
	StepMoved Step = "moved"
	// StepRetried is a refused call that may go to another home and uses a retry.
	// Further attempts with a ticket, and retries after an error of the server,
	// are not recorded as decisions.
	StepRetried Step = "retried"
	// StepAnswered is a complete answer returned in time.
	StepAnswered Step = "answered"
	// StepLate is a complete answer returned after the policy's objective.
	StepLate Step = "late"
	// StepFailed is a call that ended at its entry without a complete answer and
	// may have run.
	StepFailed Step = "failed"
	// StepRan is a call that the local backend server answered, in this attempt or
	// in an earlier one whose answer was kept.
	StepRan Step = "ran"
	// StepBroke is a call that ended at its home without a complete answer and may
	// have run.
	StepBroke Step = "broke"
)

// Decision is one decision about a request, with its inputs.
type Decision struct {
	Step Step
	// Part is the component of the daemon that decided: entry or home.
	Part    string
	At      HostID
	ID      RequestID
	Target  Target
	Home    HostID
	Status  int
	Verdict Verdict
	Reason  Reason
	Detail  string
	// HomesTried is the number of earlier homes that refused the call, did not
	// answer it or answered it with an error.
	HomesTried int
	// Remaining is the time until the deadline, Elapsed the time since this entry
	// or home received the call, Work the time spent at the backend server and
	// Waited the time spent in queues, at the home and in nested calls.
	Remaining, Elapsed, Work, Waited time.Duration
	Load                             Load
	Class                            Class
	Nested                           bool
	// Generation is the configuration by which the entry chose the target, 0 if the caller
	// named it.
	Generation Generation
}

// DecisionRecorder records decisions about requests.
type DecisionRecorder interface {
	// RecordDecision is called on the goroutine of the request and must not block.
	RecordDecision(d *Decision)
}
