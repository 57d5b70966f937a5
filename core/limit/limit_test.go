package limit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack/core/limit"
	"teaseltack/io/clock"
)

// Guards against more calls in progress than the server accepts connections.
func TestTheLimitNeverExceedsTheConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		connections := rapid.IntRange(1, 100).Draw(t, "connections")
		l := limit.New(slots, connections)
		if rapid.Bool().Draw(t, "resized") {
			l = limit.New(100, 100)
			l.Resize(slots, connections)
		}
		now := clock.Clock{}.Now()
		for range rapid.IntRange(0, 300).Draw(t, "answers") {
			l.Succeed(now, 1, l.Current())
			assert.Assert(t, l.Current() <= connections, "limit %d", l.Current())
		}
		assert.Assert(t, l.Current() >= 1)
	})
}
