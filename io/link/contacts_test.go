package link_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/link"
)

// swallower passes connections on to a host until it swallows what those that are open carry.
type swallower struct {
	listener net.Listener
	mu       sync.Mutex
	// swallowing holds one flag per open connection.
	swallowing []*atomic.Bool
}

// newSwallower returns a swallower before the node, and the node's record with its address.
func newSwallower(t *testing.T, n *node) (*swallower, teaseltack.Record) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &swallower{listener: listener}
	go s.serve(n.record.PeerAddress)
	record := n.record
	record.PeerAddress = listener.Addr().String()
	return s, record
}

func (s *swallower) serve(address string) {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			_ = near.Close()
			continue
		}
		swallowing := &atomic.Bool{}
		s.mu.Lock()
		s.swallowing = append(s.swallowing, swallowing)
		s.mu.Unlock()
		go pass(far, near, swallowing)
		go pass(near, far, swallowing)
	}
}

func pass(to, from net.Conn, swallowing *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if swallowing.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// swallowOpen makes the open connections swallow all bytes; later ones work.
func (s *swallower) swallowOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, swallowing := range s.swallowing {
		swallowing.Store(true)
	}
	return len(s.swallowing)
}

// Guards against a host that stays behind because its idle links are dead.
func TestAChangePassesThoughTheOpenLinksAreDead(t *testing.T) {
	for name, stale := range map[string]bool{"asked while the store fails": true, "told of the change": false} {
		t.Run(name, func(t *testing.T) {
			a := newNodeFor(t, "a", clock.Clock{}, func(c *link.Config) { c.MayBeStale = func() bool { return stale } })
			b := newNode(t, "b")
			way, record := newSwallower(t, b)
			a.links.SetRecords([]teaseltack.Record{record})
			for end := time.Now().Add(testTimeout); !a.links.Connected("b"); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "b is no contact of a")
			}
			a.generation.Store(1)
			b.waitForGeneration(t, 1)
			assert.Equal(t, way.swallowOpen(), 1)
			behind := b
			if stale {
				b.generation.Store(2)
				behind = a
			} else {
				a.generation.Store(2)
				a.links.NotifyPeers()
			}
			behind.waitForGeneration(t, 2)
		})
	}
}

// Guards against a host that is dialled all the time because each connection to it opens and
// ends at once, as at a host without room.
func TestAHostThatEndsEachConnectionIsDialledWithPauses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = nc.Close()
		}
	}()
	a := newNode(t, "a")
	a.links.SetRecords([]teaseltack.Record{a.record, {Host: "b", DataCentre: "b", PeerAddress: listener.Addr().String()}})
	time.Sleep(3 * time.Second)
	assert.Assert(t, accepted.Load() > 0 && accepted.Load() <= 10, "%d connections in 3 s", accepted.Load())
}
