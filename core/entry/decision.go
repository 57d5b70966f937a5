package entry

import "teaseltack"

func finalStep(answer *teaseltack.Answer) teaseltack.Step {
	switch {
	case answer.Refusal == nil:
		return teaseltack.StepAnswered
	case answer.Refusal.Verdict == teaseltack.NotRun:
		return teaseltack.StepRefused
	}
	return teaseltack.StepFailed
}

// recordDecision records a decision with its inputs. req is set only for a
// request that prepare refused; rs is nil only if prepare found no policy. Where
// both are set, the values of rs are recorded.
func (e *Entry) recordDecision(rs *requestState, req *teaseltack.Request, answer *teaseltack.Answer, step teaseltack.Step) {
	if e.cfg.Decisions == nil {
		return
	}
	d := &teaseltack.Decision{
		Step: step, Part: "entry", At: e.cfg.Host, Status: answer.Status, Work: answer.Work, Waited: answer.Waited, Load: answer.Load,
	}
	if req != nil {
		d.ID, d.Target, d.Class, d.Generation = req.ID, req.Target, req.Class, req.Generation
	}
	if rs != nil {
		now := e.cfg.Timers.Now()
		d.ID, d.Target, d.Home, d.Generation = rs.call.ID, rs.call.Target, rs.home, rs.call.Generation
		d.HomesTried, d.Class, d.Nested = len(rs.tried), rs.call.Priority.Class, rs.impliedNested || rs.parent != nil
		d.Remaining, d.Elapsed = rs.call.Deadline.Sub(now), now.Sub(rs.started)
		if step == teaseltack.StepAnswered && rs.policy.Objective > 0 && d.Elapsed > rs.policy.Objective {
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
