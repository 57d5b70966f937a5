package daemon

import (
	"slices"

	"time"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/admit"
	"teaseltack/core/claim"
	"teaseltack/core/editor"
	"teaseltack/core/entry"
	"teaseltack/core/gossip"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/member"
	"teaseltack/core/picker"
	"teaseltack/core/scope"
	"teaseltack/core/seeds"
	"teaseltack/core/ticket"
	"teaseltack/core/watch"
	"teaseltack/io/auth"
	"teaseltack/io/config"
	"teaseltack/io/dial"
	"teaseltack/io/invoke"
	"teaseltack/io/keyval"
	"teaseltack/io/metric"
	"teaseltack/io/random"
)

// build creates the components. It runs after openListeners, since the own record
// needs the peer listener's address.
func (d *Daemon) build() {
	source := random.New()
	s := d.settings
	d.metrics = metric.New(d.gauges())
	d.members = member.New(member.Config{Timers: d.timers, OnChange: d.scheduleRefresh, Own: d.ownRecord(source)})
	d.holder = active.New(active.Config{Timers: d.timers, OnChange: d.documentChanged, Default: defaultPolicy(s)})
	d.picker = picker.New(picker.Config{Timers: d.timers, Rand: source, DataCentre: teaseltack.DataCentre(s.DataCentre), Near: near(s)})
	d.levels = levels.New(levels.Config{Timers: d.timers})
	d.gate = admit.New(admit.Config{Timers: d.timers, Slots: 1, Connections: 1, MaxWait: milliseconds(s.MaxWaitMs)})
	d.server = invoke.New(invoke.Config{
		Timers: d.timers, Log: d.log.Named("server"), MaxAnswerBytes: s.MaxAnswerBytes, MaxReadingBytes: s.MaxReadingBytes,
	})
	d.tickets = ticket.New(ticket.Config{
		Timers: d.timers, Rand: source, Host: teaseltack.HostID(s.Host), Incarnation: d.members.Own().Incarnation,
		Lifetime: seconds(s.TicketLifetimeS), MaxRecords: int(s.MaxRemembered), MaxKeptBytes: int(s.MaxRememberedBytes),
	})
	scopes := scope.New(scope.Config{Rand: source})
	d.home = home.New(home.Config{
		Timers: d.timers, Host: teaseltack.HostID(s.Host), Gate: d.gate, Server: d.server,
		Tickets: d.tickets, Scopes: scopes, Levels: d.levels,
		MarkedLeaving: func() bool { return d.holder.Leaving(teaseltack.HostID(s.Host)) },
	})
	client := dial.New(dial.Config{Timers: d.timers, Key: auth.Key(s.PeerKey), MaxMessageBytes: int(s.MaxAnswerBytes) + config.MessageOverhead})
	d.buildPlatform(source)
	d.entry = entry.New(entry.Config{
		Timers: d.timers, Rand: source, Host: teaseltack.HostID(s.Host), Policies: d.holder, Picker: d.picker,
		Levels: d.levels, Scopes: scopes, Homes: client, FindHost: d.members.Find, LocalHome: d.home, Claims: d.claims, Observer: d.metrics,
		EndsAt: d.answersEndAt,
	})
	d.gossiper = gossip.New(gossip.Config{
		Timers: d.timers, Rand: source, Members: d.members, Peers: client,
		Seeds: d.seedAddresses, Generation: d.holder.Generation, OnGeneration: d.holder.Confirm,
		OnDocument: d.adopt, OnUnreachable: d.setUnreachable,
	})
	d.stops = append(d.stops, d.gossiper.Close, d.home.Close, d.gate.Close, d.tickets.Close)
}

// buildPlatform creates the components that need the platform, if one is set.
func (d *Daemon) buildPlatform(source teaseltack.RandSource) {
	if d.settings.PlatformAddress == "" {
		return
	}
	platform := keyval.New(keyval.Config{Address: d.settings.PlatformAddress, OnCall: d.metrics.PlatformCalled})
	d.editor = editor.New(editor.Config{Timers: d.timers, Store: platform, OnDocument: d.adopt})
	d.watcher = watch.New(watch.Config{Timers: d.timers, Rand: source, Store: platform, Members: d.members, Holder: d.holder, OnDocument: d.adopt})
	d.claims = claim.New(claim.Config{
		Timers: d.timers, Store: platform, KeyLifetime: seconds(d.settings.KeyLifetimeS), FleetRate: float64(d.settings.ClaimsPerSecond),
	})
	d.seeds = seeds.New(seeds.Config{Timers: d.timers, Store: platform, Members: d.members, Near: near(d.settings)})
	d.stops = append(d.stops, d.watcher.Close, d.seeds.Close)
}

// seedAddresses returns the peers from the settings and from the platform's seed
// list, without this daemon's own address.
func (d *Daemon) seedAddresses() []string {
	addresses := slices.Clone(d.settings.Peers)
	if d.seeds != nil {
		addresses = append(addresses, d.seeds.Addresses()...)
	}
	own := d.listeners.peer.Address()
	return slices.DeleteFunc(addresses, func(address string) bool { return address == own })
}

// ownRecord returns the record of this incarnation. Incarnation and Version grow
// with the wall clock, so after a restart the new record usually wins a merge at
// once. Otherwise the member table raises the new record's version as soon as a
// peer sends the old one.
func (d *Daemon) ownRecord(source teaseltack.RandSource) teaseltack.Record {
	const randomBits = 20
	started := uint64(d.timers.Now().UnixMilli())
	s := d.settings
	return teaseltack.Record{
		Host:        teaseltack.HostID(s.Host),
		Incarnation: teaseltack.Incarnation(started<<randomBits | source.Uint64()>>(64-randomBits)),
		Version:     started,
		DataCentre:  teaseltack.DataCentre(s.DataCentre),
		Region:      teaseltack.Region(s.Region),
		PeerAddress: d.listeners.peer.Address(),
	}
}

func defaultPolicy(s *config.Settings) teaseltack.Policy {
	return teaseltack.Policy{Class: teaseltack.ClassNormal, Lifetime: milliseconds(s.DefaultLifetimeMs), NonIdempotent: true}
}

func near(s *config.Settings) []teaseltack.DataCentre {
	names := make([]teaseltack.DataCentre, len(s.Near))
	for i, n := range s.Near {
		names[i] = teaseltack.DataCentre(n)
	}
	return names
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }
