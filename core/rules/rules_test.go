package rules_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/rules"
)

// A rule with a shorter prefix, or one of another host, must not take a request whatever
// the order of the rules.
func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	table := rules.New(rules.Config{Rules: []rules.Rule{
		{Name: "short", Authority: "a", Prefix: "/x/", Services: []rules.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "long", Authority: "a", Prefix: "/x/y/", Services: []rules.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "other", Authority: "b", Prefix: "/x/", Services: []rules.WeightedService{{Service: "s", Weight: 1}}},
	}})
	for path, want := range map[string]string{"/x/y/z": "long", "/x/yz": "short", "/x/": "short"} {
		assert.Equal(t, string(table.Find("a", path).Name), want, path)
	}
	assert.Assert(t, table.Find("a", "/x") == nil)
	assert.Assert(t, table.Find("c", "/x/") == nil)
}

// Requests must be distributed over the services in proportion to their weights.
func TestWeightsAreKept(t *testing.T) {
	rule := rules.Rule{Services: []rules.WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[teaseltack.Service]int{}
	const draws = 1000
	for i := range uint64(draws) {
		counts[rule.Service(i<<54|i<<44)]++
	}
	assert.Assert(t, counts["a"] > 850 && counts["a"] < 950, "%v", counts)
}

// With rounding errors, the largest draws may not fall below the sum of the weights; such
// a draw must still return a service.
func TestEveryDrawNamesAPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 5).Draw(t, "weights")
		rule := rules.Rule{}
		for i, w := range weights {
			rule.Services = append(rule.Services, rules.WeightedService{Service: teaseltack.Service(rune('a' + i)), Weight: w})
		}
		if rule.Service(rapid.Uint64().Draw(t, "draw")) == "" {
			t.Fatal("the draw returned no service")
		}
	})
}

// An importance above the number of classes must not wrap around to an important class.
func TestARankIsAClass(t *testing.T) {
	table := rules.New(rules.Config{Rules: []rules.Rule{
		{Name: "first", Importance: 0, Attempts: 2, Services: []rules.WeightedService{{"s", 1}}},
		{Name: "third", Importance: 2, Attempts: 1, Services: []rules.WeightedService{{"s", 1}}},
		{Name: "ninth", Importance: 8, Attempts: 1, Services: []rules.WeightedService{{"s", 1}}},
	}})
	for name, want := range map[string]teaseltack.Class{"first": teaseltack.ClassProtected, "third": teaseltack.ClassNormal, "ninth": teaseltack.ClassLow} {
		policy, known := table.Policy(teaseltack.Target{Service: "s", Method: teaseltack.Method(name)})
		assert.Assert(t, known)
		assert.Equal(t, policy.Class, want)
	}
}
