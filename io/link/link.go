// Package link carries calls between daemons over one connection per pair of
// hosts: length-delimited protocol buffers, many calls at once, written
// together while a write is under way. Its cost per call is a part of that of a
// stream per call; docs/PLATFORM.md has the figures.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

const (
	// dialTime bounds the time to connect to another host.
	dialTime = 1200 * time.Millisecond
	// connectWait is how long a call waits for a connection before its entry
	// tries another home.
	connectWait = 250 * time.Millisecond
	// redialPause is the pause between attempts to reach a host again.
	redialPause = 500 * time.Millisecond
	// newsPeriod is the period of comparing configurations with another host.
	newsPeriod = time.Second
	// userTimeout bounds the time that sent bytes stay unacknowledged.
	userTimeout = 4 * time.Second
)

// errStopping ends the links of a daemon that stops.
var errStopping = errors.New("this daemon stops")

// errUnknown ends the link to a host that is no longer known.
var errUnknown = errors.New("the host is no longer known")

// Config configures the links of a host.
type Config struct {
	Timers teaseltack.Timers
	Host   teaseltack.HostID
	// Serve runs a call of another host at the local backend server.
	Serve func(ctx context.Context, call *teaseltack.Call) *teaseltack.Answer
	// Current returns the generation and the document in force.
	Current func() (teaseltack.Generation, []byte)
	// OnConfig is called with a newer configuration from another host, on the
	// goroutine that reads its connection.
	OnConfig func(generation teaseltack.Generation, document []byte)
	// Records returns the records of the known hosts.
	Records func() []teaseltack.Record
	// OnRecords is called with the records that another host knows, on the goroutine
	// that reads its connection, when this host knows no other.
	OnRecords func(records []teaseltack.Record)
	// OnReachability is called when a host becomes unreachable or reachable again,
	// without locks.
	OnReachability func(host teaseltack.HostID, reached bool)
	// MayBeStale reports that the platform is not reachable, so that other hosts are
	// asked more often.
	MayBeStale func() bool
}

// Links holds the connections to the other hosts and serves theirs. It is safe
// for concurrent use.
type Links struct {
	cfg      Config
	mu       sync.Mutex
	peers    map[teaseltack.HostID]*peer
	incoming map[*pipe]bool
	listener net.Listener
	closed   bool
	stop     func()
}

var _ teaseltack.HomeClient = (*Links)(nil)

// New returns links without peers; until Close they compare configurations with
// other hosts periodically.
func New(cfg Config) *Links {
	l := &Links{cfg: cfg, peers: map[teaseltack.HostID]*peer{}, incoming: map[*pipe]bool{}}
	l.stop = cfg.Timers.Every(newsPeriod, l.compare)
	return l
}

// Serve accepts the links of other hosts until Close.
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
			continue
		}
		p := newPipe(l, nc, nil)
		l.mu.Lock()
		closed := l.closed
		l.incoming[p] = true
		l.mu.Unlock()
		if closed {
			p.close(errStopping)
		}
		go p.read()
	}
}

// Pending returns the number of calls of other hosts that are not answered yet.
func (l *Links) Pending() int {
	l.mu.Lock()
	pipes := make([]*pipe, 0, len(l.incoming))
	for p := range l.incoming {
		pipes = append(pipes, p)
	}
	l.mu.Unlock()
	busy := 0
	for _, p := range pipes {
		p.mu.Lock()
		busy += len(p.running)
		p.mu.Unlock()
	}
	return busy
}

// Close ends all links.
func (l *Links) Close() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	listener := l.listener
	var pipes []*pipe
	for p := range l.incoming {
		pipes = append(pipes, p)
	}
	for _, p := range l.peers {
		if p.pipe != nil {
			pipes = append(pipes, p.pipe)
		}
	}
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, p := range pipes {
		p.close(errStopping)
	}
}

// retireTime is how long the link to a host that is no longer known stays open
// for its calls; no call lasts longer.
const retireTime = 30 * time.Second

// Track replaces the hosts to which links are kept; links to other hosts are closed
// once their calls have ended.
func (l *Links) Track(records []teaseltack.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[teaseltack.HostID]bool{}
	for _, r := range records {
		known[r.Host] = true
	}
	for host, p := range l.peers {
		if !known[host] {
			p.dropped = true
			delete(l.peers, host)
			if retired := p.pipe; retired != nil {
				l.cfg.Timers.After(retireTime, func() { retired.close(errUnknown) })
			}
		}
	}
}

// Forward sends the call to its home. The error is a *Refusal.
func (l *Links) Forward(ctx context.Context, to teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	p, err := l.connected(ctx, to)
	if err != nil {
		return nil, err
	}
	return p.call(ctx, to.Host, call)
}

// IssueTickets refuses: calls on links carry their own attempt ids.
func (l *Links) IssueTickets(context.Context, teaseltack.Record, teaseltack.Target, int) ([]teaseltack.Ticket, error) {
	return nil, teaseltack.Refuse(teaseltack.ReasonTicketInvalid, "links carry no tickets")
}

// spreadCount is the number of hosts that a host tells of a new configuration;
// each of those that did not know it tells as many.
const spreadCount = 4

// NotifyPeers notifies some hosts that the configuration has changed.
func (l *Links) NotifyPeers() {
	for _, p := range l.pick(spreadCount) {
		p.ping()
	}
}

// compare asks some hosts for their configuration.
func (l *Links) compare() {
	count := 1
	if l.cfg.MayBeStale() {
		count = 3
	}
	for _, p := range l.pick(count) {
		p.ping()
	}
}

// pick returns some links, in the random order of the maps.
func (l *Links) pick(count int) []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pipes []*pipe
	for _, p := range l.peers {
		if p.pipe != nil && len(pipes) < count {
			pipes = append(pipes, p.pipe)
		}
	}
	if len(pipes) < count {
		for p := range l.incoming {
			if len(pipes) < count {
				pipes = append(pipes, p)
			}
		}
	}
	return pipes
}

func (l *Links) pingOf() *peerv1.Ping {
	generation, _ := l.cfg.Current()
	return &peerv1.Ping{Generation: uint64(generation), Alone: len(l.cfg.Records()) <= 1}
}
