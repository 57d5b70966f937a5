package side_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform/fake"
)

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
