package wire_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/io/wire"
)

var now = time.Unix(1_700_000_000, 0)

func TestCallSurvivesTheWay(t *testing.T) {
	call := &teaseltack.Call{
		ID: "a", Nonce: "n", Target: teaseltack.Target{Service: "s", Method: "m"},
		Priority: teaseltack.Priority{Class: teaseltack.ClassHigh, Nested: true, Rank: 7}, NonIdempotent: true,
		Deadline: now.Add(time.Second), Retries: 2, Ticket: "t",
		Payload: teaseltack.Payload{Verb: "POST", Query: "q=1", Headers: []teaseltack.HeaderField{{Name: "A", Value: "b"}}, Body: []byte("body")},
	}
	got, err := wire.Codec{}.CallIn(wire.Codec{}.CallOut("h", call, now), now)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, call)
}

func TestAnswerSurvivesTheWay(t *testing.T) {
	for name, answer := range map[string]*teaseltack.Answer{
		"complete": {ID: "a", Nonce: "n", Status: 200, Headers: []teaseltack.HeaderField{}, Body: []byte("b"), RetriesLeft: 1, FreshTicket: "t", Work: time.Second, Waited: time.Millisecond, Load: teaseltack.Load{Level: 3, NestedLevel: 4, InFlight: 5, Limit: 6}},
		"refused":  {ID: "a", Nonce: "n", Headers: []teaseltack.HeaderField{}, Refusal: teaseltack.Refuse(teaseltack.ReasonOverload, "full")},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, wire.Codec{}.AnswerIn(wire.Codec{}.AnswerOut(answer)), answer)
		})
	}
}

func TestUnknownVerdictMayHaveRun(t *testing.T) {
	answer := wire.Codec{}.AnswerIn(&peerv1.ForwardResponse{Reason: "new-reason", Verdict: 77})
	assert.Equal(t, answer.Verdict(), teaseltack.MayHaveRun)
}

// FuzzCallIn decodes arbitrary bytes. A call that CallIn accepts must have a known
// class, a deadline after now and no negative retries, whatever a peer sends.
func FuzzCallIn(f *testing.F) {
	good, err := proto.Marshal(&peerv1.ForwardRequest{RequestId: "a", Nonce: "n", LifetimeUs: 1000, Class: 1})
	assert.NilError(f, err)
	bad, err := proto.Marshal(&peerv1.ForwardRequest{RequestId: "a", Nonce: "n", LifetimeUs: -1, Class: 9, Retries: -5})
	assert.NilError(f, err)
	f.Add(good)
	f.Add(bad)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &peerv1.ForwardRequest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		call, err := wire.Codec{}.CallIn(m, now)
		if err != nil {
			return
		}
		if call.Priority.Class > teaseltack.ClassProtected || call.Retries < 0 || !call.Deadline.After(now) {
			t.Fatalf("accepted the invalid call %+v", call)
		}
	})
}
