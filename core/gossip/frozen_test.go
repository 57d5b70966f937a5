package gossip_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/gossip"
	"teaseltack/core/member"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// frozenPeer never returns a document; the other peers do at once.
type frozenPeer struct{ teaseltack.PeerClient }

func (frozenPeer) FetchDocument(ctx context.Context, address string, _ teaseltack.Generation) (*operatorv1.Document, error) {
	if address == "frozen" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &operatorv1.Document{Generation: 2}, nil
}

// Guards against a notice of a newer document that is dropped because another host is frozen.
func TestAFrozenPeerDelaysNoDocumentOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inForce atomic.Uint64
		g := gossip.New(gossip.Config{
			Timers: clock.Clock{}, Rand: random.Seeded(1), Peers: frozenPeer{}, Seeds: func() []string { return nil },
			Members:      member.New(member.Config{Timers: clock.Clock{}, OnChange: func() {}, Own: teaseltack.Record{Host: "a", PeerAddress: "a"}}),
			Generation:   func() (teaseltack.Generation, time.Duration) { return teaseltack.Generation(inForce.Load()), 0 },
			OnGeneration: func(teaseltack.Generation, time.Duration) {}, OnUnreachable: func(teaseltack.DataCentre, bool) {},
			OnDocument: func(d *operatorv1.Document) { inForce.Store(d.Generation) },
		})
		defer g.Close()
		g.Receive(teaseltack.Exchange{From: "f", FromAddress: "frozen", Generation: 2})
		time.Sleep(10 * time.Millisecond)
		g.Receive(teaseltack.Exchange{From: "h", FromAddress: "healthy", Generation: 2})
		time.Sleep(2 * time.Second)
		assert.Check(t, inForce.Load() == 2, "generation %d is in force", inForce.Load())
	})
}
