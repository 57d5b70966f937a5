package daemon

import (
	"errors"
	"fmt"
	"time"

	"teaseltack"
	"teaseltack/io/edge"
)

const (
	// announcementCheck is the period of the check for expired announcements.
	announcementCheck = 200 * time.Millisecond
	maxSlots          = 100_000
)

// announce checks and applies an announcement of the local backend server, which the
// server repeats like the heartbeats on the users' platform.
func (d *Daemon) announce(a edge.Announcement) error {
	if err := checkAnnouncedAddress(a.Address); err != nil {
		return err
	}
	if a.Service == "" {
		return errors.New("service is empty, allowed is the name of a service")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("slots is %d, allowed is 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections < a.Slots || a.Connections > maxSlots {
		return fmt.Errorf("connections is %d, allowed are %d (slots) to %d", a.Connections, a.Slots, maxSlots)
	}
	d.mu.Lock()
	before := d.announcement
	d.announcement = announcement{
		service: teaseltack.Service(a.Service), address: a.Address, instance: a.Instance,
		leaving: a.Leaving, renewed: d.timers.Now(),
	}
	cold := before.instance != a.Instance || before.renewed.IsZero()
	d.mu.Unlock()
	d.server.SetAddress(a.Address)
	d.gate.Resize(a.Slots, a.Connections, cold)
	if cold {
		d.log.Info("server announced", "service", a.Service, "address", a.Address, "slots", a.Slots, "connections", a.Connections)
	}
	d.members.UpdateOwn(func(r *teaseltack.Record) {
		r.Slots = a.Slots
		r.Connections = a.Connections
	})
	d.applyServing()
	return nil
}

// serving derives the state of the local server from its last announcement, the
// operators' leaving mark and the daemon's own shutdown.
func (d *Daemon) serving() (teaseltack.Service, teaseltack.Serving) {
	d.mu.Lock()
	a := d.announcement
	d.mu.Unlock()
	switch {
	case a.renewed.IsZero() || d.timers.Now().Sub(a.renewed) > milliseconds(d.settings.AnnouncementTTLMs):
		return a.service, teaseltack.Absent
	case a.leaving || d.stopping.Load() || d.holder.Leaving(teaseltack.HostID(d.settings.Host)):
		return a.service, teaseltack.Leaving
	}
	return a.service, teaseltack.Ready
}

// applyServing updates the home before the own record, so that the home already
// refuses calls from daemons that still have the old record.
func (d *Daemon) applyServing() {
	service, serving := d.serving()
	_, before := d.home.Serving()
	d.home.SetServing(service, serving)
	d.members.UpdateOwn(func(r *teaseltack.Record) {
		r.Service = service
		r.Serving = serving
	})
	if before != serving {
		d.log.Info("server state changed", "service", service, "serving", serving)
		d.gossiper.ExchangeAll()
	}
}

func (d *Daemon) expireAnnouncement() {
	if _, before := d.home.Serving(); before == teaseltack.Absent {
		return
	}
	d.applyServing()
}
