// Package link carries calls between daemons. A link is the connection that a daemon
// dials to a host that it calls. It multiplexes all calls as length-delimited
// protocol buffers and batches the frames that are queued during a write. A call
// costs a fraction of what one stream per call costs; docs/PLATFORM.md has the
// figures.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
	"teaseltack/core/usage"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

const (
	// dialTimeout bounds the time to connect to another host.
	dialTimeout = 1200 * time.Millisecond
	// connectWait is how long a call waits for a connection before its entry
	// tries another home.
	connectWait = 250 * time.Millisecond
	// redialDelay is the delay after a failed attempt to connect to a host, or after a
	// connection that ended at once.
	redialDelay = 500 * time.Millisecond
	// comparePeriod is the period of comparing configuration generations with other
	// hosts.
	comparePeriod = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 4 * time.Second
	// acceptRetryDelay is the delay after a failed accept, such as when the process is
	// out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// errStopping is the cause of closing connections when this daemon stops.
var errStopping = errors.New("this daemon is stopping")

// errUnknownHost is the cause of closing the connection to a host that is no
// longer in the membership.
var errUnknownHost = errors.New("the host is no longer in the membership")

// errNoRoom is the cause of closing a connection that another host dialled, while it has
// no calls, because of the limits on connections and memory.
var errNoRoom = errors.New("too many connections")

// errAddressChanged is the cause of closing the connection to an earlier address of a
// host.
var errAddressChanged = errors.New("the host has another address")

// Config configures the links of a host. The callbacks are called without the locks
// of Links, some of them concurrently.
type Config struct {
	Timers teaseltack.Timers
	Host   teaseltack.HostID
	// Serve runs another host's call at the local backend server. It is called on a
	// goroutine of its own; ctx ends when the entry cancels the call or the
	// connection closes.
	Serve func(ctx context.Context, call *teaseltack.Call) *teaseltack.Answer
	// CallMemory bounds what the calls of other hosts hold, AnswerMemory the answers that
	// are being read; nil bounds nothing.
	CallMemory, AnswerMemory *usage.Limiter
	// Connections bounds the connections that other hosts dial; nil bounds nothing.
	Connections *usage.Limiter
	// Current returns the generation and the document of the configuration in force.
	Current func() (teaseltack.Generation, []byte)
	// Age returns the time since the generation in force was first known to exist.
	Age func() time.Duration
	// OnGeneration is called with each generation that another host names as its own, and
	// the time since that one was first known to exist, on the goroutine that reads that
	// host's connection.
	OnGeneration func(generation teaseltack.Generation, age time.Duration)
	// OnConfig is called when another host sends a newer configuration, on the
	// goroutine that reads that host's connection.
	OnConfig func(generation teaseltack.Generation, document []byte)
	// Records returns the records of the known hosts.
	Records func() []teaseltack.Record
	// OnRecords is called with the records of another host after this host asked for
	// them because it knew no other host, on the goroutine that reads that host's
	// connection.
	OnRecords func(records []teaseltack.Record)
	// OnReachability is called without locks after the first attempt to connect to a host,
	// and when later ones begin to fail or succeed again, on a goroutine that dials. Calls
	// do not overlap, and the last one for a host tells its current state. A host that
	// was out of reach counts as reached once its address is no longer known.
	OnReachability func(host teaseltack.HostID, reached bool)
	// MayBeStale reports whether the last read or watch of the configuration failed,
	// so that a newer one may exist; more hosts are then compared with per period.
	MayBeStale func() bool
}

// Links holds the connections to the other hosts and serves the calls that arrive on
// connections from them. It is safe for concurrent use.
type Links struct {
	cfg   Config
	mu    sync.Mutex
	peers map[teaseltack.HostID]*peer
	// records and addresses hold the records of the known hosts and their addresses, nil
	// before the first SetRecords.
	records   []teaseltack.Record
	addresses map[teaseltack.HostID]string
	// candidates holds the hosts of each data centre that may be contacts, in the order
	// of preference; recordsChanged is set if they were chosen from earlier records.
	candidates     [][]teaseltack.Record
	recordsChanged bool
	// incoming holds the connections that other hosts dialled to this one.
	incoming map[*conn]bool
	// reported holds the reachability last reported for each host, unreported the hosts
	// whose state may have changed since. reporting is set while OnReachability is called.
	reported   map[teaseltack.HostID]bool
	unreported map[teaseltack.HostID]bool
	reporting  bool
	listener   net.Listener
	closed     bool
	stop       func()
	// lastPull is when a document was last asked for because of a call or an answer, in
	// Unix nanoseconds.
	lastPull atomic.Int64
}

var _ teaseltack.HomeClient = (*Links)(nil)

// New returns Links without connections. Until Close it compares configuration
// generations with connected hosts every comparePeriod.
func New(cfg Config) *Links {
	l := &Links{
		cfg: cfg, peers: map[teaseltack.HostID]*peer{}, incoming: map[*conn]bool{},
		reported: map[teaseltack.HostID]bool{}, unreported: map[teaseltack.HostID]bool{},
	}
	l.stop = cfg.Timers.Every(comparePeriod, l.compareConfigs)
	return l
}

// Serve accepts connections from other hosts until Close.
func (l *Links) Serve(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	closed := l.closed
	l.mu.Unlock()
	if closed {
		_ = listener.Close()
	}
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(l, nc, nil)
		if !c.enter() {
			c.close(errNoRoom)
			continue
		}
		l.mu.Lock()
		closed := l.closed
		l.incoming[c] = true
		l.mu.Unlock()
		if closed {
			c.close(errStopping)
		}
		go c.read()
	}
}

// Pending returns the number of other hosts' calls that are not yet answered. A connection
// on which answers are still being written counts as one at least.
func (l *Links) Pending() int {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.incoming))
	for c := range l.incoming {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	pending := 0
	for _, c := range conns {
		c.mu.Lock()
		calls := len(c.incoming)
		c.mu.Unlock()
		if calls == 0 && c.isWriting() {
			calls = 1
		}
		pending += calls
	}
	return pending
}

// Close closes the listener and all connections.
func (l *Links) Close() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	listener := l.listener
	var conns []*conn
	for c := range l.incoming {
		conns = append(conns, c)
	}
	for _, p := range l.peers {
		if p.conn != nil {
			conns = append(conns, p.conn)
		}
	}
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, c := range conns {
		c.close(errStopping)
	}
}

// retireDelay is how long the connection to a host that has left the membership, or to
// an address that a host no longer has, stays open for its pending calls. A call that
// lasts longer fails.
const retireDelay = 30 * time.Second

// SetRecords names the records of the known hosts. It forgets the peers that are not among
// them or have another address there. A connection that served calls is closed after
// retireDelay. A forgotten host that was out of reach is reported as reached: nothing is
// known of its address.
func (l *Links) SetRecords(records []teaseltack.Record) {
	addresses := make(map[teaseltack.HostID]string, len(records))
	for _, r := range records {
		addresses[r.Host] = r.PeerAddress
	}
	var forgotten []teaseltack.HostID
	l.mu.Lock()
	l.records, l.addresses, l.recordsChanged = records, addresses, true
	for host, p := range l.peers {
		if l.isKnown(p) {
			continue
		}
		cause := errUnknownHost
		if addresses[host] != "" {
			cause = errAddressChanged
		}
		delete(l.peers, host)
		l.retire(p, cause)
		forgotten = append(forgotten, host)
	}
	l.mu.Unlock()
	l.reportReachability(forgotten...)
}

// isKnown reports whether the peer's host is known to have its address. The caller holds
// l.mu.
func (l *Links) isKnown(p *peer) bool {
	return l.addresses == nil || l.addresses[p.record.Host] == p.record.PeerAddress
}

// retire stops dialling a host and closes the connection to it after retireDelay. The
// caller holds l.mu.
func (l *Links) retire(p *peer, cause error) {
	p.removed = true
	if conn := p.conn; conn != nil {
		l.cfg.Timers.After(retireDelay, func() { conn.close(cause) })
	}
}

// Forward sends the call to its home and waits for the answer. If the connection is lost
// after a non-idempotent call was confirmed, it asks the home again over a new one. The
// error is a *Refusal.
func (l *Links) Forward(ctx context.Context, to teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	c, err := l.connection(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := c.call(ctx, to.Host, call)
	if err != nil && call.NonIdempotent && teaseltack.AsRefusal(err).Verdict != teaseltack.NotRun {
		return l.askAgain(ctx, to, call, err)
	}
	return answer, err
}

// IssueTickets always refuses: links have no message for it. The home of a
// non-idempotent call asks the entry for a confirmation instead of a ticket.
func (l *Links) IssueTickets(context.Context, teaseltack.Record, teaseltack.Target, int) ([]teaseltack.Ticket, error) {
	return nil, teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "this daemon issues no tickets; calls over links are confirmed instead")
}

// notifyCount is the number of hosts that a host notifies of a new configuration;
// each of them that did not have it notifies as many.
const notifyCount = 4

// NotifyPeers notifies up to notifyCount hosts, and one of each data centre, of the
// generation in force; those with an older one receive the new document.
func (l *Links) NotifyPeers() {
	l.compareWith(notifyCount)
}

// compareConfigs exchanges the generation in force with one host, or with three and one
// of each data centre while the configuration may be stale.
func (l *Links) compareConfigs() {
	l.keepContacts()
	if l.cfg.MayBeStale() {
		l.compareWith(3)
		return
	}
	for _, c := range l.pickConns(1) {
		c.compare()
	}
}

// pickConns returns up to count connections, chosen by the random iteration order
// of the maps; connections that were dialled here come first.
func (l *Links) pickConns(count int) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*conn
	for _, p := range l.peers {
		if p.conn != nil && len(conns) < count {
			conns = append(conns, p.conn)
		}
	}
	if len(conns) < count {
		for c := range l.incoming {
			if len(conns) < count {
				conns = append(conns, c)
			}
		}
	}
	return conns
}

func (l *Links) newPing() *peerv1.Ping {
	generation, _ := l.cfg.Current()
	return &peerv1.Ping{Generation: uint64(generation), AgeMs: l.cfg.Age().Milliseconds(), Alone: len(l.cfg.Records()) <= 1}
}

// heard reports a generation that another host names as its own.
func (l *Links) heard(generation uint64, ageMs int64) {
	l.cfg.OnGeneration(teaseltack.Generation(generation), time.Duration(ageMs)*time.Millisecond)
}
