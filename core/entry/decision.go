package entry

import "teaseltack"

func stepOf(answer *teaseltack.Answer) teaseltack.Step {
	switch {
	case answer.Refusal == nil:
		return teaseltack.StepAnswered
	case answer.Refusal.Verdict == teaseltack.NotRun:
		return teaseltack.StepRefused
	}
	return teaseltack.StepFailed
}

// record records a decision with its inputs. The request is used if no journey was
// started for it.
func (e *Entry) record(j *journey, a *teaseltack.Request, answer *teaseltack.Answer, step teaseltack.Step) {
	if e.cfg.Decisions == nil {
		return
	}
	d := &teaseltack.Decision{
		Step: step, Part: "entry", At: e.cfg.Host, Status: answer.Status, Work: answer.Work, Waited: answer.Waited, Load: answer.Load,
	}
	if a != nil {
		d.ID, d.Target, d.Class = a.ID, a.Target, a.Class
	}
	if j != nil {
		now := e.cfg.Timers.Now()
		d.ID, d.Target, d.Home = j.call.ID, j.call.Target, j.home
		d.Attempt, d.Class, d.Nested = len(j.tried), j.call.Priority.Class, j.inner || j.parent != nil
		d.Remaining, d.Elapsed = j.call.Deadline.Sub(now), now.Sub(j.started)
		if step == teaseltack.StepAnswered && j.policy.Objective > 0 && d.Elapsed > j.policy.Objective {
			d.Step = teaseltack.StepLate
		}
	}
	if answer.Refusal != nil {
		d.Verdict, d.Reason, d.Detail = answer.Refusal.Verdict, answer.Refusal.Reason, answer.Refusal.Detail
	} else {
		d.Verdict = teaseltack.Ran
	}
	e.cfg.Decisions.RecordDecision(d)
}
