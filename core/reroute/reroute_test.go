package reroute_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/reroute"
	"teaseltack/core/rules"
	"teaseltack/io/random"
)

func newRouter(generation teaseltack.Generation, list ...rules.Rule) *reroute.Router {
	table := rules.New(rules.Config{Generation: generation, Rules: list})
	return reroute.New(reroute.Config{Rand: random.Seeded(1), Table: func() *rules.Table { return table }})
}

func rule(name, prefix string, services ...string) rules.Rule {
	r := rules.Rule{Name: teaseltack.Method(name), Authority: "a.example", Prefix: prefix, Attempts: 1}
	for _, s := range services {
		r.Services = append(r.Services, rules.WeightedService{Service: teaseltack.Service(s), Weight: 1})
	}
	return r
}

func callOf(service, method, uri string, generation teaseltack.Generation) *teaseltack.Call {
	return &teaseltack.Call{
		Target:     teaseltack.Target{Service: teaseltack.Service(service), Method: teaseltack.Method(method)},
		Generation: generation, Payload: teaseltack.Payload{Authority: "a.example", Path: uri},
	}
}

func TestACallRoutedByAnOlderConfiguration(t *testing.T) {
	router := newRouter(5, rule("write", "/write/", "orders"), rule("read", "/read/", "till", "orders"), rule("longer", "/read/x/", "stock"))
	for _, c := range []struct {
		name    string
		call    *teaseltack.Call
		refused bool
		// want is the new target, empty if there is none.
		want string
	}{
		{"moved to another service", callOf("till", "write", "/write/1?q=/read/", 4), true, "orders/write"},
		{"same service", callOf("orders", "write", "/write/1", 4), false, "orders/write"},
		{"one of several services", callOf("till", "read", "/read/1", 4), false, "till/read"},
		{"a longer prefix was added", callOf("till", "read", "/read/x/1", 4), true, "stock/longer"},
		{"the rule got another name", callOf("orders", "put", "/write/1", 4), false, "orders/write"},
		{"absolute form", callOf("till", "write", "http://a.example/write/1", 4), true, "orders/write"},
		{"the route was removed", callOf("till", "gone", "/gone/1", 4), true, ""},
		{"same configuration", callOf("till", "write", "/write/1", 5), false, ""},
		{"newer configuration", callOf("till", "write", "/write/1", 6), false, ""},
		{"not routed", callOf("till", "write", "/write/1", 0), false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			refusal := router.Check(c.call)
			assert.Equal(t, refusal != nil, c.refused)
			if c.refused {
				assert.Equal(t, refusal.Reason, teaseltack.ReasonConfiguration)
				assert.Equal(t, refusal.Verdict, teaseltack.NotRun)
			}
			target, generation, ok := router.Reroute(c.call)
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Equal(t, string(target.Service)+"/"+string(target.Method), c.want)
				assert.Equal(t, generation, teaseltack.Generation(5))
			}
		})
	}
}

func TestWithoutAConfigurationNoCallIsRefused(t *testing.T) {
	router := reroute.New(reroute.Config{Table: func() *rules.Table { return nil }})
	assert.Assert(t, router.Check(callOf("till", "write", "/write/1", 4)) == nil)
	_, _, ok := router.Reroute(callOf("till", "write", "/write/1", 4))
	assert.Assert(t, !ok)
}
