package entry_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
)

// move is a router whose second configuration moves the method write from till to orders.
type move struct {
	generation atomic.Uint64
}

func (m *move) Reroute(call *teaseltack.Call) (teaseltack.Target, teaseltack.Generation, bool) {
	generation := teaseltack.Generation(m.generation.Load())
	target := teaseltack.Target{Service: "orders", Method: "write"}
	return target, generation, call.Generation < generation
}

func (m *move) check(call *teaseltack.Call) *teaseltack.Refusal {
	if target, _, outdated := m.Reroute(call); outdated && target != call.Target {
		return teaseltack.Refuse(teaseltack.ReasonConfiguration, "moved")
	}
	return nil
}

// newMovedFleet returns a fleet whose entry, the host gateway-0, has the first
// configuration in force.
func newMovedFleet(t *testing.T, nonIdempotent bool) (*fakeFleet, *move) {
	t.Helper()
	m := &move{}
	m.generation.Store(1)
	f := newFakeFleet(nil)
	f.router, f.checkRoute = m, m.check
	for _, service := range []teaseltack.Service{"till", "orders", "gateway"} {
		f.addHost(service, 0)
		f.addPolicy(teaseltack.Target{Service: service, Method: "write"}, teaseltack.ClassNormal, nonIdempotent, 2)
	}
	f.updateHomes()
	t.Cleanup(f.stop)
	return f, m
}

func (f *fakeFleet) write(t *testing.T) *teaseltack.Answer {
	t.Helper()
	return f.hosts["gateway-0"].entry.Load().Serve(t.Context(), &teaseltack.Request{
		ID: "x", Target: teaseltack.Target{Service: "till", Method: "write"}, Retries: -1, Generation: 1, Payload: teaseltack.Payload{Body: []byte("x")},
	})
}

func TestARequestRefusedForAnOlderConfigurationRunsByTheNewerOne(t *testing.T) {
	for name, nonIdempotent := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name, func(t *testing.T) {
			f, m := newMovedFleet(t, nonIdempotent)
			m.generation.Store(2)
			answer := f.write(t)
			assert.Assert(t, answer.Refusal == nil, "%v", answer.Refusal)
			assert.DeepEqual(t, f.ranAt["x"], []teaseltack.Service{"orders"})
			assert.Equal(t, f.serves, 1, "answers that were counted")
		})
	}
}

func TestARepeatedCallFollowsTheNewerConfiguration(t *testing.T) {
	f, m := newMovedFleet(t, false)
	f.checkRoute = nil
	f.nextFault = func() fault {
		if m.generation.Swap(2) == 1 {
			return refuseConnection
		}
		return fine
	}
	answer := f.write(t)
	assert.Assert(t, answer.Refusal == nil, "%v", answer.Refusal)
	assert.DeepEqual(t, f.ranAt["x"], []teaseltack.Service{"orders"})
}

func TestARequestThatMayHaveRunIsNotMovedToAMethodThatRunsOnce(t *testing.T) {
	f, m := newMovedFleet(t, false)
	f.addPolicy(teaseltack.Target{Service: "orders", Method: "write"}, teaseltack.ClassNormal, true, 2)
	f.nextFault = func() fault {
		m.generation.Store(2)
		return loseAnswer
	}
	m.generation.Store(1)
	answer := f.write(t)
	assert.Assert(t, answer.Refusal != nil)
	assert.Equal(t, answer.Refusal.Verdict, teaseltack.MayHaveRun)
	for _, service := range f.ranAt["x"] {
		assert.Equal(t, service, teaseltack.Service("till"))
	}
}

func TestATargetThatIsNoLongerConfiguredIsReplaced(t *testing.T) {
	f, m := newMovedFleet(t, true)
	delete(f.policies, teaseltack.Target{Service: "till", Method: "write"})
	m.generation.Store(2)
	answer := f.write(t)
	assert.Assert(t, answer.Refusal == nil, "%v", answer.Refusal)
	assert.DeepEqual(t, f.ranAt["x"], []teaseltack.Service{"orders"})
}
