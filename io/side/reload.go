package side

import (
	"fmt"
	"strings"

	"teaseltack"
	"teaseltack/io/config"
)

// Reload applies the service and the retry-slack of new settings while the daemon
// runs. All other settings stay as they were at the start until a restart. Reload
// keeps all the present settings if err is set or if the host, outer-address or
// peer-port changed, which needs a restart.
func (s *Sidecar) Reload(next *config.Sidecar, err error) {
	if err != nil {
		s.log.Error("settings not reloaded, the present ones stay", "error", err)
		return
	}
	old := s.current.Load()
	if changes := restartChanges(old, next); len(changes) > 0 {
		s.log.Error("settings not reloaded, the present ones stay", "error", strings.Join(changes, "; "))
		return
	}
	s.current.Store(next)
	s.applyRetrySlack()
	s.log.Info("settings reloaded; only service and retry-slack apply before a restart", "service", next.Service, "retry-slack", next.RetrySlack, "changed", *next != *old)
}

// restartChanges describes the changes for which a reload is rejected.
func restartChanges(old, next *config.Sidecar) []string {
	var changes []string
	for _, setting := range []struct {
		key       string
		old, next any
	}{
		{"host", old.Host, next.Host},
		{"outer-address", old.OuterAddress, next.OuterAddress},
		{"peer-port", old.PeerPort, next.PeerPort},
	} {
		if setting.old != setting.next {
			changes = append(changes, fmt.Sprintf("%s is %v, allowed without a restart is %v", setting.key, setting.next, setting.old))
		}
	}
	return changes
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
