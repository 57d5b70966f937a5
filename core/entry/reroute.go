package entry

import "teaseltack"

// findPolicy returns the policy of the request's target. If the configuration that named
// the target is no longer in force, it returns the request with its new target.
func (e *Entry) findPolicy(req *teaseltack.Request) (*teaseltack.Request, teaseltack.Policy, bool) {
	policy, known := e.cfg.Policies.Policy(req.Target)
	if known || e.cfg.Router == nil {
		return req, policy, known
	}
	target, generation, ok := e.cfg.Router.Reroute(&teaseltack.Call{Target: req.Target, Generation: req.Generation, Payload: req.Payload})
	if !ok {
		return req, policy, false
	}
	rerouted := *req
	rerouted.Target, rerouted.Generation = target, generation
	policy, known = e.cfg.Policies.Policy(target)
	return &rerouted, policy, known
}

// reroute reports whether the configuration in force sends the request to another target
// than the older one by which it was routed, and sets that target. A request that may have
// run stays where it is if it must not run again.
func (e *Entry) reroute(rs *requestState) bool {
	if e.cfg.Router == nil {
		return false
	}
	target, generation, ok := e.cfg.Router.Reroute(&rs.call)
	if !ok {
		return false
	}
	policy, known := e.cfg.Policies.Policy(target)
	if !known || rs.mayHaveRun && policy.NonIdempotent {
		return false
	}
	rs.call.Generation = generation
	if target == rs.call.Target {
		return false
	}
	rs.call.Target, rs.call.NonIdempotent, rs.policy = target, policy.NonIdempotent, policy
	rs.impliedNested = e.isServersOnly(target)
	rs.budget = e.budget(target)
	rs.budget.RecordCall()
	return true
}

// isOutdated reports whether the request was routed by an older configuration than the one
// in force.
func (e *Entry) isOutdated(rs *requestState) bool {
	if e.cfg.Router == nil {
		return false
	}
	_, _, outdated := e.cfg.Router.Reroute(&rs.call)
	return outdated
}
