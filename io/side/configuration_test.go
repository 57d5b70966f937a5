package side_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform/fake"
)

// The limits of the users' platform for a change to be in force: with a sound store, and
// while the store turns hosts away.
const (
	changeLimit          = 2 * time.Second
	stretchedChangeLimit = 7 * time.Second
)

// twoDataCentres starts two data centres, each with a host of both services, and sends
// requests of both rules from each host.
func twoDataCentres(t *testing.T) *testbed {
	tb := newTestbed(t)
	tb.configure(read, write)
	for _, dataCentre := range []string{"a", "b"} {
		tb.addIn(dataCentre, "orders", fake.ServerConfig{Work: time.Millisecond})
		tb.addIn(dataCentre, "till", fake.ServerConfig{Work: time.Millisecond})
	}
	for _, h := range tb.hosts {
		tb.waitFor("readiness of "+h.name, h.ready)
		tb.waitFor("all hosts at "+h.name, func() bool { return h.knowsHosts(len(tb.hosts)) })
	}
	for _, h := range tb.hosts {
		tb.waitFor("the rule for orders from "+h.name, func() bool { return tb.serves(h, "/read/x") })
		tb.waitFor("the rule for till from "+h.name, func() bool { return tb.call(h, http.MethodPost, "/write/x", "b").status == http.StatusOK })
	}
	return tb
}

// ranAt returns the service that runs a request of the rule write.
func (tb *testbed) ranAt(h *host) string {
	got := tb.call(h, http.MethodPost, "/write/x", "body")
	for _, other := range tb.hosts {
		if other.server.Runs()[got.id] > 0 {
			return other.service
		}
	}
	return ""
}

func TestADataCentreThatTheStoreTurnsAwayLearnsOfAChange(t *testing.T) {
	t.Parallel()
	tb := twoDataCentres(t)
	for _, h := range tb.hosts[2:] {
		h.front.turnAway()
	}
	tb.configure(read, rule{"/write/", "orders", "non_idempotent", 2})
	time.Sleep(stretchedChangeLimit)
	for _, h := range tb.hosts {
		assert.Equal(t, tb.ranAt(h), "orders", "at %s of data centre %s, %v after the change", h.name, h.dataCentre, stretchedChangeLimit)
	}
}

func TestTheLogTellsHowARequestWasRouted(t *testing.T) {
	t.Parallel()
	log := &logBuffer{}
	tb := newTestbed(t)
	tb.log = log
	tb.configure(read, write)
	for _, service := range []string{"orders", "till"} {
		tb.add(service, fake.ServerConfig{Work: time.Millisecond})
	}
	for _, h := range tb.hosts {
		tb.waitFor("the rule for till from "+h.name, func() bool { return tb.call(h, http.MethodPost, "/write/x", "b").status == http.StatusOK })
	}
	got := tb.call(tb.hosts[0], http.MethodPost, "/write/x", "b")
	assert.Equal(t, got.status, http.StatusOK)
	assertLogged(t, log, got.id, "part=entry", "at=host-0", "routed-by=1")
	assertLogged(t, log, got.id, "part=home", "at=host-1", "routed-by=1")
	tb.hosts[0].front.turnAway()
	tb.configure(read, write, rule{"/new/", "till", "idempotent", 2})
	tb.waitFor("the change at the host that the store turns away", func() bool { return tb.serves(tb.hosts[0], "/new/x") })
	changes := log.find("configuration in force", "generation=2", "from=peer", "late-ms=")
	assert.Assert(t, len(changes) == 1, "%s", strings.Join(log.find("configuration in force"), "\n"))
}
