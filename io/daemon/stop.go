package daemon

import (
	"context"
	"errors"
	"fmt"

	"time"

	"teaseltack"
	"teaseltack/io/httpd"
)

// shutdown tells everybody, goes on serving until the news has spread, finishes
// what is in progress and closes the listeners from the outside in.
func (d *Daemon) shutdown(hard context.Context) error {
	d.log.Info("shutting down", "in-flight", d.home.InFlight())
	d.ready.Store(false)
	d.stopping.Store(true)
	d.listeners.outer.KeepAlives(false)
	d.applyServing()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.State = teaseltack.Left })
	d.gossiper.ExchangeAll()
	ctx, cancel := context.WithTimeout(hard, seconds(d.settings.ShutdownS))
	defer cancel()
	d.rest(ctx, newsDelay)
	faults := d.drain(ctx)
	for _, stop := range d.stops {
		stop()
	}
	if err := errors.Join(faults...); err != nil {
		d.log.Error("shut down with requests cut", "in-flight", d.home.InFlight(), "error", err)
		return fmt.Errorf("shutting down: %w", err)
	}
	d.log.Info("shut down", "in-flight", 0)
	return nil
}

func (d *Daemon) drain(ctx context.Context) []error {
	var faults []error
	note := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	note(d.listeners.outer.Shutdown(ctx))
	select {
	case <-d.home.Idle():
	case <-ctx.Done():
		note(fmt.Errorf("%d calls still run at the server", d.home.InFlight()))
	}
	note(d.listeners.peer.Shutdown(ctx))
	note(d.listeners.inner.Shutdown(ctx))
	note(d.listeners.operator.Shutdown(ctx))
	return faults
}

// rest waits and reports whether the context still goes on.
func (d *Daemon) rest(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

func (d *Daemon) closeDoors() {
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	for _, listener := range []*httpd.Server{d.listeners.outer, d.listeners.inner, d.listeners.peer, d.listeners.operator} {
		if listener != nil {
			_ = listener.Shutdown(closed)
		}
	}
}
