package home_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/home"
)

var errMoved = teaseltack.Refuse(teaseltack.ReasonConfiguration, "moved")

func TestACallThatTheConfigurationSendsElsewhereDoesNotRun(t *testing.T) {
	h, s := newHomeFor(t, func(c *home.Config) {
		c.CheckRoute = func(*teaseltack.Call) *teaseltack.Refusal { return errMoved }
	})
	close(s.release)
	answer := h.Serve(t.Context(), payment("n"))
	assert.Assert(t, answer.Refusal != nil)
	assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonConfiguration)
	assert.Equal(t, answer.Verdict(), teaseltack.NotRun)
	assert.Equal(t, len(s.runs), 0)
}

func TestAQueuedCallThatAChangeSendsElsewhereDoesNotRun(t *testing.T) {
	checks := 0
	h, s := newHomeFor(t, func(c *home.Config) {
		c.CheckRoute = func(*teaseltack.Call) *teaseltack.Refusal {
			if checks++; checks == 1 {
				return nil
			}
			return errMoved
		}
	})
	close(s.release)
	answer := h.Serve(t.Context(), payment("n"))
	assert.Equal(t, answer.Verdict(), teaseltack.NotRun)
	assert.Equal(t, len(s.runs), 0)
}

func TestALostAnswerIsReturnedAfterAChange(t *testing.T) {
	var moved *teaseltack.Refusal
	h, s := newHomeFor(t, func(c *home.Config) {
		c.CheckRoute = func(*teaseltack.Call) *teaseltack.Refusal { return moved }
	})
	close(s.release)
	assertPaid(t, h.Serve(t.Context(), payment("n")))
	moved = errMoved
	assertPaid(t, h.Serve(t.Context(), again("n", incarnation)))
}
