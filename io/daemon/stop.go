package daemon

import (
	"context"
	"errors"
	"fmt"

	"time"

	"teaseltack"
	"teaseltack/io/httpd"
)

// shutdown publishes that this daemon stops, keeps serving for stopDelay while
// the record spreads, finishes the requests in progress and closes the listeners,
// the outer one first. Requests that are complete only after stopDelay, such as long
// uploads, are served if they end before the shutdown does.
func (d *Daemon) shutdown(abort context.Context) error {
	d.log.Info("shutting down", "in-flight", d.home.InFlight())
	d.ready.Store(false)
	d.stopping.Store(true)
	d.listeners.outer.DisableKeepAlives()
	d.applyServing()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.State = teaseltack.Left })
	d.gossiper.ExchangeAll()
	end := d.timers.Now().Add(seconds(d.settings.ShutdownS) - answerMargin)
	ctx, cancel := context.WithTimeout(abort, seconds(d.settings.ShutdownS))
	defer cancel()
	d.sleep(ctx, stopDelay)
	d.endsAt.Store(&end)
	errs := d.drain(ctx)
	for _, stop := range d.stops {
		stop()
	}
	if err := errors.Join(errs...); err != nil {
		d.log.Error("shut down with requests cut", "in-flight", d.home.InFlight(), "error", err)
		return fmt.Errorf("shutting down: %w", err)
	}
	d.log.Info("shut down", "in-flight", 0)
	return nil
}

// answersEndAt returns when the answers of a daemon end that no longer takes all
// requests, and otherwise the zero time.
func (d *Daemon) answersEndAt() time.Time {
	if end := d.endsAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

func (d *Daemon) drain(ctx context.Context) []error {
	var errs []error
	collect := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	collect(d.listeners.outer.Shutdown(ctx))
	select {
	case <-d.home.Idle():
	case <-ctx.Done():
		collect(fmt.Errorf("%d calls still in progress at the backend server", d.home.InFlight()))
	}
	collect(d.listeners.peer.Shutdown(ctx))
	collect(d.listeners.inner.Shutdown(ctx))
	collect(d.listeners.operator.Shutdown(ctx))
	return errs
}

// sleep waits for length; it returns false early if the context ends first.
func (d *Daemon) sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

func (d *Daemon) closeListeners() {
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	for _, listener := range []*httpd.Server{d.listeners.outer, d.listeners.inner, d.listeners.peer, d.listeners.operator} {
		if listener != nil {
			_ = listener.Shutdown(closed)
		}
	}
}
