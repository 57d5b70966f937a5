package metric_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/metric"
)

func zero() float64 { return 0 }

// TestLabelsAreBounded guards against unbounded metrics: a path may contain any
// service name, and each new one would add a label value.
func TestLabelsAreBounded(t *testing.T) {
	m := metric.New(metric.Gauges{
		Load: func() teaseltack.Load { return teaseltack.Load{} }, Generation: zero, HostsBehind: zero, HostsKnown: zero,
		TicketsRemembered: zero, PlatformReachable: zero, DataCentresUnreachable: zero, HomesEjected: zero,
	})
	refused := &teaseltack.Answer{Refusal: teaseltack.Refuse(teaseltack.ReasonNoServer, "none")}
	for i := range 5000 {
		m.Answered(teaseltack.Target{Service: teaseltack.Service(fmt.Sprintf("made-up-%d", i))}, teaseltack.ClassNormal, refused)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	lines := strings.Count(recorder.Body.String(), "teaseltack_refused_total{")
	assert.Assert(t, lines <= 201, "%d label sets", lines)
}
