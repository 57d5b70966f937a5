package teaseltack

import "time"

// Step names a decision that touches a request.
type Step string

// The steps of a request.
const (
	// StepRefused is a call that was refused: at an entry before any home, at a
	// home before the server.
	StepRefused Step = "refused"
	// StepMoved is a call that goes to another home without a retry.
	StepMoved Step = "moved"
	// StepRetried is a call that is sent once more at the price of a retry.
	StepRetried Step = "retried"
	// StepAnswered is a whole answer given.
	StepAnswered Step = "answered"
	// StepLate is a whole answer given after the objective.
	StepLate Step = "late"
	// StepFailed is a call that ended without a whole answer and may have run.
	StepFailed Step = "failed"
	// StepRan is a call that the local backend server answered.
	StepRan Step = "ran"
	// StepBroke is a call that was dispatched and got no whole answer.
	StepBroke Step = "broke"
)

// Decision is one decision with the inputs that decided it.
type Decision struct {
	Step Step
	// Part is the part of the daemon that decided: entry or home.
	Part    string
	At      HostID
	ID      RequestID
	Target  Target
	Home    HostID
	Status  int
	Verdict Verdict
	Reason  Reason
	Detail  string
	// Attempt counts the homes tried before.
	Attempt int
	// Remaining is the time that remained, Took the time at this daemon, Work the time
	// at the server, Waited the time in queues here and below.
	Remaining, Elapsed, Work, Waited time.Duration
	Load                             Load
	Class                            Class
	Nested                           bool
}

// DecisionRecorder is told the decisions that touch a request. It must not block.
type DecisionRecorder interface {
	RecordDecision(d *Decision)
}
