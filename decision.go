package teaseltack

import "time"

// Step names the kind of a decision about a request.
type Step string

// The steps.
const (
	// StepRefused is a call that was refused: by an entry before it was forwarded
	// to a home, or by a home before it was dispatched to the backend server.
	StepRefused Step = "refused"
	// StepMoved is a call that is forwarded to another home without using a retry.
	StepMoved Step = "moved"
	// StepRetried is a call that is sent again and uses a retry.
	StepRetried Step = "retried"
	// StepAnswered is a complete answer returned in time.
	StepAnswered Step = "answered"
	// StepLate is a complete answer returned after the policy's objective.
	StepLate Step = "late"
	// StepFailed is a call that ended without a complete answer and may have run.
	StepFailed Step = "failed"
	// StepRan is a call that the local backend server answered.
	StepRan Step = "ran"
	// StepBroke is a call that was dispatched and got no complete answer.
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
	// Attempt is the number of homes tried before.
	Attempt int
	// Remaining is the time until the deadline, Elapsed the time spent at this
	// daemon, Work the time spent at the backend server and Waited the time spent
	// in queues, here and in nested calls.
	Remaining, Elapsed, Work, Waited time.Duration
	Load                             Load
	Class                            Class
	Nested                           bool
}

// DecisionRecorder records decisions about requests.
type DecisionRecorder interface {
	// RecordDecision is called on the goroutine of the request and must not block.
	RecordDecision(d *Decision)
}
