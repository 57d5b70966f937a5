package descr_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/io/descr"
)

// Guards against listeners whose connections together leave no descriptors for what a daemon
// opens itself.
func TestSharesLeaveAnEighth(t *testing.T) {
	for _, limit := range []descr.Limit{64, 256, 1024, 4100, 1 << 20} {
		standAlone := limit.Outer() + limit.Peer() + limit.Inner() + limit.Operator()
		platform := limit.Outer() + limit.Peer() + 3*limit.Operator()
		assert.Assert(t, max(standAlone, platform) <= int64(limit)*7/8, "limit %d: %d and %d", limit, standAlone, platform)
		assert.Assert(t, limit.Operator() > 0)
	}
	assert.Assert(t, descr.OfProcess() > 0)
}
