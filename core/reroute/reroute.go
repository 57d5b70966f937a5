// Package reroute finds the calls that were routed by an older configuration than the one
// in force, and their targets by the one in force.
package reroute

import (
	"net/url"

	"teaseltack"
	"teaseltack/core/rules"
)

// Config configures a Router.
type Config struct {
	Rand teaseltack.RandSource
	// Table returns the configuration in force, or nil while there is none.
	Table func() *rules.Table
}

// Router applies the configuration in force. It is safe for concurrent use.
type Router struct {
	cfg Config
}

var _ teaseltack.Router = (*Router)(nil)

// New returns a router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg}
}

// Reroute implements teaseltack.Router.
func (r *Router) Reroute(call *teaseltack.Call) (teaseltack.Target, teaseltack.Generation, bool) {
	table := r.newer(call)
	if table == nil {
		return teaseltack.Target{}, 0, false
	}
	rule := find(table, call)
	if rule == nil {
		return teaseltack.Target{}, 0, false
	}
	service := call.Target.Service
	if !rule.Sends(service) {
		service = rule.Service(r.cfg.Rand.Uint64())
	}
	return teaseltack.Target{Service: service, Method: rule.Name}, table.Config().Generation, true
}

// Check refuses a call that was routed by an older configuration, unless the one in force
// sends its request to the same service.
func (r *Router) Check(call *teaseltack.Call) *teaseltack.Refusal {
	table := r.newer(call)
	if table == nil {
		return nil
	}
	if rule := find(table, call); rule != nil && rule.Sends(call.Target.Service) {
		return nil
	}
	return teaseltack.Refuse(teaseltack.ReasonConfiguration, "routed to %s by configuration %d, %d does not send it there",
		call.Target.Service, call.Generation, table.Config().Generation)
}

// newer returns the configuration in force if the call was routed by an older one, and
// nil otherwise.
func (r *Router) newer(call *teaseltack.Call) *rules.Table {
	table := r.cfg.Table()
	if table == nil || call.Generation == 0 || table.Config().Generation <= call.Generation {
		return nil
	}
	return table
}

func find(table *rules.Table, call *teaseltack.Call) *rules.Rule {
	target, err := url.ParseRequestURI(call.Payload.Path)
	if err != nil {
		return nil
	}
	return table.Find(call.Payload.Authority, target.EscapedPath())
}
