package link_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
)

// noPeriods are timers without periodic calls, so that hosts compare their configurations
// only because of calls and answers.
type noPeriods struct{ clock.Clock }

func (noPeriods) Every(time.Duration, func()) func() { return func() {} }

// linkedPair returns two linked nodes with the same configuration.
func linkedPair(t *testing.T) (entry, home *node) {
	t.Helper()
	entry, home = newNodeWith(t, "entry", noPeriods{}), newNodeWith(t, "home", noPeriods{})
	entry.generation.Store(1)
	home.generation.Store(1)
	_, err := entry.links.Forward(t.Context(), home.record, routedBy("first", 1))
	assert.NilError(t, err)
	return entry, home
}

func routedBy(id string, generation teaseltack.Generation) *teaseltack.Call {
	c := call(id, false)
	c.Generation = generation
	return c
}

func (n *node) waitForGeneration(t *testing.T, want uint64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); n.generation.Load() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s has generation %d, want %d", n.record.Host, n.generation.Load(), want)
	}
}

func TestAnEntryLearnsOfAChangeFromAnAnswer(t *testing.T) {
	entry, home := linkedPair(t)
	home.generation.Store(2)
	_, err := entry.links.Forward(t.Context(), home.record, routedBy("x", 1))
	assert.NilError(t, err)
	entry.waitForGeneration(t, 2)
}

func TestAHomeLearnsOfAChangeFromACall(t *testing.T) {
	entry, home := linkedPair(t)
	entry.generation.Store(2)
	_, err := entry.links.Forward(t.Context(), home.record, routedBy("x", 2))
	assert.NilError(t, err)
	home.waitForGeneration(t, 2)
}

// The entry routes the request anew as soon as it is refused.
func TestARefusalForAnOlderConfigurationComesAfterTheNewerOne(t *testing.T) {
	entry, home := linkedPair(t)
	home.generation.Store(2)
	home.serve = func(_ context.Context, c *teaseltack.Call) *teaseltack.Answer {
		return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Refusal: teaseltack.Refuse(teaseltack.ReasonConfiguration, "moved")}
	}
	refused := make(chan uint64, 50)
	for range cap(refused) {
		go func() {
			answer, err := entry.links.Forward(t.Context(), home.record, routedBy("x", 1))
			assert.Check(t, err)
			assert.Check(t, answer != nil && answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonConfiguration)
			refused <- entry.generation.Load()
		}()
	}
	for range cap(refused) {
		assert.Equal(t, <-refused, uint64(2), "the configuration of the entry when its call was refused")
	}
}
