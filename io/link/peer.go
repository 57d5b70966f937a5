package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"teaseltack"
	"teaseltack/io/socket"
)

// peer is another host and the connection that is dialled to it. A host whose address
// changes gets a new peer. Links.mu guards the fields, except record, which does not
// change.
type peer struct {
	record teaseltack.Record
	conn   *conn
	// dialling is set while an attempt to connect runs or is scheduled.
	dialling bool
	// firstAttemptDone is closed when the first attempt to connect since the
	// connection was lost has ended.
	firstAttemptDone chan struct{}
	// unreachable is set when an attempt fails and cleared when one succeeds.
	unreachable bool
	// refused is set when the host refused the last attempt: no daemon listens there.
	refused bool
	// removed is set when the host is no longer known or its address has changed;
	// dialling then stops.
	removed bool
}

// peer returns the peer at the host's address. The caller holds l.mu.
func (l *Links) peer(to teaseltack.Record) *peer {
	p := l.peers[to.Host]
	if p != nil && p.record.PeerAddress == to.PeerAddress {
		return p
	}
	if p != nil {
		l.retire(p, errAddressChanged)
	}
	p = &peer{record: to}
	l.peers[to.Host] = p
	return p
}

// connection returns the connection to the host. If there is none, it starts
// dialling and waits up to connectWait, but fails at once after a failed attempt.
func (l *Links) connection(ctx context.Context, to teaseltack.Record) (*conn, error) {
	l.mu.Lock()
	p := l.peer(to)
	if p.conn != nil {
		defer l.mu.Unlock()
		return p.conn, nil
	}
	if p.unreachable {
		defer l.mu.Unlock()
		return nil, notConnected(to)
	}
	l.startDial(p)
	firstAttemptDone := p.firstAttemptDone
	l.mu.Unlock()
	timer := time.NewTimer(connectWait)
	defer timer.Stop()
	select {
	case <-firstAttemptDone:
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.conn == nil {
		return nil, notConnected(to)
	}
	return p.conn, nil
}

// Connected reports whether there is a connection that this host dialled to the
// other host.
func (l *Links) Connected(host teaseltack.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[host]
	return p != nil && p.conn != nil
}

// notConnected returns the refusal of a call that was not sent.
func notConnected(to teaseltack.Record) error {
	return teaseltack.Refuse(teaseltack.ReasonConnection, "host %s is not connected", to.Host)
}

// startDial starts dialling unless it has already started. The caller holds l.mu.
func (l *Links) startDial(p *peer) {
	if p.dialling || l.closed {
		return
	}
	p.dialling = true
	p.firstAttemptDone = make(chan struct{})
	go l.dial(p)
}

// dial connects to the peer; after a failure it schedules another attempt, until
// one succeeds or the peer is removed.
func (l *Links) dial(p *peer) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: socket.UserTimeout(userTimeout).Control}
	nc, err := dialer.Dial("tcp", p.record.PeerAddress)
	l.mu.Lock()
	firstAttempt := !p.unreachable
	p.unreachable = err != nil
	p.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil && !p.removed && !l.isKnown(p) {
		// A call that was chosen earlier has named an address that the host has no longer.
		delete(l.peers, p.record.Host)
		p.removed = true
	}
	wanted := !p.removed && !l.closed
	if err == nil && wanted {
		p.conn = newConn(l, nc, p)
	}
	p.dialling = err != nil && wanted
	if firstAttempt {
		close(p.firstAttemptDone)
	}
	opened := p.conn
	l.mu.Unlock()
	switch {
	case !wanted:
		if nc != nil {
			_ = nc.Close()
		}
	case err != nil:
		l.reportReachability(p.record.Host)
		l.cfg.Timers.After(redialDelay, func() { l.dial(p) })
	default:
		l.reportReachability(p.record.Host)
		go opened.read()
		opened.ping()
	}
}

// reportReachability calls OnReachability for each of the hosts whose state differs from
// what was reported last. If a call is in progress, its goroutine makes the next ones.
func (l *Links) reportReachability(hosts ...teaseltack.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, host := range hosts {
		l.unreported[host] = true
	}
	if l.reporting {
		return
	}
	l.reporting = true
	defer func() { l.reporting = false }()
	for len(l.unreported) > 0 {
		host, reached, changed := l.nextReport()
		if !changed {
			continue
		}
		l.mu.Unlock()
		l.cfg.OnReachability(host, reached)
		l.mu.Lock()
	}
}

// nextReport takes one of the hosts in unreported, and reports whether its state differs
// from what was reported last. The caller holds l.mu.
func (l *Links) nextReport() (host teaseltack.HostID, reached, changed bool) {
	for host = range l.unreported {
		break
	}
	delete(l.unreported, host)
	before, known := l.reported[host]
	p := l.peers[host]
	if p == nil {
		delete(l.reported, host)
		return host, true, known && !before
	}
	reached = !p.unreachable
	l.reported[host] = reached
	return host, reached, !known || before != reached
}

// detach stops using a broken or silent connection for new calls and dials a new
// one. It reports whether the connection was the peer's current one.
func (l *Links) detach(p *peer, c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.conn != c {
		return false
	}
	p.conn = nil
	if !p.removed && l.peers[p.record.Host] == p {
		l.redial(p, c)
	}
	return true
}

// redial starts dialling after a connection was lost, with a delay if it ended at once and
// carried nothing. The caller holds l.mu.
func (l *Links) redial(p *peer, lost *conn) {
	if lost.answered.Load() || p.dialling || l.closed || l.cfg.Timers.Now().Sub(lost.opened) >= redialDelay {
		l.startDial(p)
		return
	}
	p.dialling = true
	p.firstAttemptDone = make(chan struct{})
	l.cfg.Timers.After(redialDelay, func() { l.dial(p) })
}

// probeDataCentre pings all connected hosts of a data centre after one of them fell
// silent, so that a partition is detected before a call to each host has to time
// out.
func (l *Links) probeDataCentre(dataCentre teaseltack.DataCentre) {
	l.mu.Lock()
	var conns []*conn
	for _, p := range l.peers {
		if p.conn != nil && p.record.DataCentre == dataCentre {
			conns = append(conns, p.conn)
		}
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.probe()
	}
}
