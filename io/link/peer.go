package link

import (
	"context"
	"net"
	"time"

	"teaseltack"
	"teaseltack/io/socket"
)

// peer is another host as calls reach it.
type peer struct {
	record teaseltack.Record
	pipe   *pipe
	// dialling says that an attempt to connect runs or is due.
	dialling bool
	// settled is closed when the first attempt since the link was lost has ended.
	settled chan struct{}
	// unreached is set once an attempt has failed, until one succeeds.
	unreached bool
	dropped   bool
}

// connected returns the link to the host and waits a short time for a new one.
func (l *Links) connected(ctx context.Context, to teaseltack.Record) (*pipe, error) {
	l.mu.Lock()
	p := l.peers[to.Host]
	if p == nil || p.record.PeerAddress != to.PeerAddress {
		if p != nil {
			p.dropped = true
		}
		p = &peer{record: to}
		l.peers[to.Host] = p
	}
	if p.pipe != nil {
		defer l.mu.Unlock()
		return p.pipe, nil
	}
	if p.unreached {
		defer l.mu.Unlock()
		return nil, unconnected(to)
	}
	l.dialSoon(p)
	settled := p.settled
	l.mu.Unlock()
	wait := time.NewTimer(connectWait)
	defer wait.Stop()
	select {
	case <-settled:
	case <-ctx.Done():
	case <-wait.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.pipe == nil {
		return nil, unconnected(to)
	}
	return p.pipe, nil
}

// Connected reports whether there is a link to the host that was dialled here.
func (l *Links) Connected(host teaseltack.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[host]
	return p != nil && p.pipe != nil
}

func unconnected(to teaseltack.Record) error {
	return teaseltack.Refuse(teaseltack.ReasonConnection, "host %s is not connected", to.Host)
}

// dialSoon starts connecting unless that is under way; called with the lock.
func (l *Links) dialSoon(p *peer) {
	if p.dialling || l.closed {
		return
	}
	p.dialling = true
	p.settled = make(chan struct{})
	go l.dial(p)
}

// dial connects to the peer, and tries again until it is reached or dropped.
func (l *Links) dial(p *peer) {
	dialer := net.Dialer{Timeout: dialTime, KeepAlive: -1, Control: socket.UserTimeout(userTimeout).Control}
	nc, err := dialer.Dial("tcp", p.record.PeerAddress)
	l.mu.Lock()
	first := !p.unreached
	p.unreached = err != nil
	wanted := !p.dropped && !l.closed
	if err == nil && wanted {
		p.pipe = newPipe(l, nc, p)
	}
	p.dialling = err != nil && wanted
	if first {
		close(p.settled)
	}
	made := p.pipe
	l.mu.Unlock()
	switch {
	case !wanted:
		if nc != nil {
			_ = nc.Close()
		}
	case err != nil:
		if first {
			l.cfg.OnReachability(p.record.Host, false)
		}
		l.cfg.Timers.After(redialPause, func() { l.dial(p) })
	default:
		l.cfg.OnReachability(p.record.Host, true)
		go made.read()
		made.ping()
	}
}

// lose takes a broken or silent link out of use and connects anew. It reports
// whether the link was in use.
func (l *Links) lose(p *peer, broken *pipe) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.pipe != broken {
		return false
	}
	p.pipe = nil
	if !p.dropped && l.peers[p.record.Host] == p {
		l.dialSoon(p)
	}
	return true
}

// probe asks the other hosts of a data centre for a sign of life once one of its
// hosts fell silent, so that a cut is found before a call meets it on each link.
func (l *Links) probe(name teaseltack.DataCentre) {
	l.mu.Lock()
	var pipes []*pipe
	for _, p := range l.peers {
		if p.pipe != nil && p.record.DataCentre == name {
			pipes = append(pipes, p.pipe)
		}
	}
	l.mu.Unlock()
	for _, p := range pipes {
		p.probe()
	}
}
