package origin_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/origin"
)

var hosts = map[teaseltack.Service]int{"a": 5, "b": 4, "c": 4, "d": 4}

func observe(table *origin.Table, method teaseltack.Method, callers []teaseltack.Service, count int) bool {
	inner := false
	for i := range count {
		inner = table.Observe(method, callers[i%len(callers)])
	}
	return inner
}

// TestARouteOfServersIsFound guards against treating a method that only the servers of two
// services call as one that callers use.
func TestARouteOfServersIsFound(t *testing.T) {
	table := origin.New()
	table.SetHosts(hosts)
	assert.Assert(t, observe(table, "inner", []teaseltack.Service{"a", "b"}, 200))
}

// TestARouteOfCallersIsNot guards against giving a method that callers use on all hosts
// the priority of nested calls.
func TestARouteOfCallersIsNot(t *testing.T) {
	table := origin.New()
	table.SetHosts(hosts)
	assert.Assert(t, !observe(table, "outer", []teaseltack.Service{"a", "b", "c", "d"}, 10_000))
}

// TestFewCallsSayNothing guards against classifying a method as inner after too few calls.
func TestFewCallsSayNothing(t *testing.T) {
	table := origin.New()
	table.SetHosts(hosts)
	assert.Assert(t, !observe(table, "inner", []teaseltack.Service{"a"}, 20))
}

// TestARouteThatCallersComeToIsForgottenAsInner guards against a method that keeps
// counting as inner after callers have started to use it.
func TestARouteThatCallersComeToIsForgottenAsInner(t *testing.T) {
	table := origin.New()
	table.SetHosts(hosts)
	observe(table, "changed", []teaseltack.Service{"a"}, 200)
	assert.Assert(t, !observe(table, "changed", []teaseltack.Service{"a", "b", "c", "d"}, 5000))
}
