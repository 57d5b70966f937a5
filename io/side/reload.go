package side

import (
	"strings"

	"teaseltack"
	"teaseltack/io/config"
)

// Reload applies the service and the retry-slack of new settings while the daemon
// runs. All other settings stay as they were at the start until a restart, and a log
// line names those that changed. Reload keeps all the present settings if err is set or if the host, outer-address or
// peer-port changed, which needs a restart.
func (s *Sidecar) Reload(next *config.SidecarSettings, err error) {
	if err != nil {
		s.log.Error("settings not reloaded, the present ones stay", "error", err)
		return
	}
	old := s.current.Load()
	if next.Host != old.Host || next.OuterAddress != old.OuterAddress || next.PeerPort != old.PeerPort {
		s.log.Error("settings not reloaded, the present ones stay", "error", "host, outer-address and peer-port need a restart")
		return
	}
	applied, _ := old.Changes(next)
	_, needRestart := s.settings.Changes(next)
	s.current.Store(next)
	s.applyRetrySlack()
	s.log.Info("settings reloaded", "applied", strings.Join(applied, ","), "service", next.Service, "retry-slack", next.RetrySlack)
	if len(needRestart) > 0 {
		s.log.Warn("changed settings need a restart, those of the start stay", "keys", strings.Join(needRestart, ","))
	}
}

// applyRetrySlack sets this entry's share of the retry-slack.
func (s *Sidecar) applyRetrySlack() {
	hosts := max(len(s.roster.Records()), 1)
	s.entry.SetRetrySlack(slackFraction * s.current.Load().RetrySlack / float64(hosts))
}

// service returns the service in the current settings.
func (s *Sidecar) service() teaseltack.Service {
	return teaseltack.Service(s.current.Load().Service)
}
