// Package picker picks a home for each call. It samples two homes of the local data
// centre and two remote ones, and takes the one with the lowest expected time, which
// it estimates from the load reported in answers, the capacity and the distance.
// Homes that fail repeatedly are ejected and later probed with single calls.
package picker

import (
	"slices"
	"sync"
	"time"

	"teaseltack"
)

const (
	// ejectAfter is the number of consecutive failures that ejects a home.
	ejectAfter = 3
	// firstEjection is the duration of a home's first ejection; it doubles with each
	// further one.
	firstEjection = 500 * time.Millisecond
	// longestEjection limits the duration of an ejection.
	longestEjection = 8 * time.Second
	// cannotServeTime is how long a home that reported CannotServe is picked last,
	// unless a newer membership record of it arrives first.
	cannotServeTime = 2 * time.Second
	// loadMaxAge is the age from which a reported load is ignored.
	loadMaxAge = time.Second
	// consecutiveFailurePenalty multiplies the expected time of a home once per
	// consecutive failure.
	consecutiveFailurePenalty = 2
	// failureSharePenalty times its failure share is the factor by which a home's
	// expected time grows: a failed or refused call has to go to another home.
	failureSharePenalty = 6
	// loadDivisor divides the expected time that calls within the limit add: they
	// do not queue, but homes with fewer calls are preferred.
	loadDivisor = 4
	// initialLimitDivisor divides the announced slots; the quotient is the limit
	// assumed for a home without a recent load report.
	initialLimitDivisor = 4
	// delayPerRank is the round trip assumed before the first measurement, per rank
	// of the data centre in Config.Near.
	delayPerRank = 2 * time.Millisecond
	// remotePenalty is the share of the expected time that is added for a remote
	// home: traffic between data centres costs money, so a small gain does not
	// justify it.
	remotePenalty = 0.25
	// objectiveFactor is the multiple of the expected time that must fit into a
	// call's objective for a local home to be preferred to any faster remote one.
	// The 99th percentile is about three times the mean in the users' data sheets.
	objectiveFactor = 3
	// delayRiseDivisor limits how fast a round trip estimate rises: a longer measurement
	// raises it by the difference divided by delayRiseDivisor. An estimate that was
	// too short is thus corrected over about that many answers.
	delayRiseDivisor = 256
)

// Config configures a Picker.
type Config struct {
	Timers     teaseltack.Timers
	Rand       teaseltack.RandSource
	DataCentre teaseltack.DataCentre
	// Near lists the other data centres, nearest first; unlisted ones rank last.
	Near []teaseltack.DataCentre
	// Uniform picks at random and ignores load, capacity and distance; benchmarks
	// use it as the baseline.
	Uniform bool
}

// Picker holds the homes of each service. It is safe for concurrent use.
type Picker struct {
	cfg                    Config
	mu                     sync.Mutex
	services               map[teaseltack.Service][]*home
	unreachableDataCentres map[teaseltack.DataCentre]bool
	unreachableHosts       map[teaseltack.HostID]bool
	// delays holds the estimated network round trip per data centre: the lowest
	// recent duration of an answered call without its work and queueing time.
	delays map[teaseltack.DataCentre]time.Duration
}

// New returns a picker without homes.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:                    cfg,
		services:               map[teaseltack.Service][]*home{},
		unreachableDataCentres: map[teaseltack.DataCentre]bool{},
		unreachableHosts:       map[teaseltack.HostID]bool{},
		delays:                 map[teaseltack.DataCentre]time.Duration{},
	}
}

// Update replaces the homes with those of the records whose server is ready. The home of
// a daemon that stops is picked after those that do not. A home
// whose incarnation and service are unchanged keeps its load and failure state.
func (p *Picker) Update(records []teaseltack.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[teaseltack.HostID]*home{}
	for _, homes := range p.services {
		for _, h := range homes {
			known[h.record.Host] = h
		}
	}
	services := map[teaseltack.Service][]*home{}
	for _, rec := range records {
		if rec.Serving != teaseltack.Ready || rec.State == teaseltack.Dead {
			continue
		}
		h := known[rec.Host]
		if h == nil || h.record.Incarnation != rec.Incarnation || h.record.Service != rec.Service {
			h = &home{proximityRank: p.rankOf(rec.DataCentre), levels: map[teaseltack.Method]reportedLevel{}}
		}
		if h.record.Version != rec.Version {
			h.cannotServeUntil = time.Time{}
		}
		h.record = rec
		services[rec.Service] = append(services[rec.Service], h)
	}
	p.services = services
}

// SetDataCentreUnreachable marks a data centre as unreachable, or clears the mark.
func (p *Picker) SetDataCentreUnreachable(name teaseltack.DataCentre, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableDataCentres[name] = unreachable
}

// SetHostUnreachable marks a host as unreachable, or clears the mark.
func (p *Picker) SetHostUnreachable(host teaseltack.HostID, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unreachable {
		p.unreachableHosts[host] = true
		return
	}
	delete(p.unreachableHosts, host)
}

// rankOf returns the proximity rank of a data centre; 0 is the local one.
func (p *Picker) rankOf(name teaseltack.DataCentre) int {
	if name == p.cfg.DataCentre {
		return 0
	}
	if i := slices.Index(p.cfg.Near, name); i >= 0 {
		return i + 1
	}
	return len(p.cfg.Near) + 1
}

// Request describes the call that a home is picked for.
type Request struct {
	Service teaseltack.Service
	Method  teaseltack.Method
	// Bucket is the call's priority bucket; a home that sheds it is picked only after
	// those that do not, but before unavailable ones.
	Bucket teaseltack.Level
	// Tried lists the homes that refused or failed the call.
	Tried []teaseltack.HostID
	// PreferProbe picks an ejected local home of the best tier that has no probe in
	// flight before any other home. Without it, such a home is chosen like the others;
	// the call is then its probe as well.
	PreferProbe bool
	// Objective is the response time target; zero if there is none.
	Objective time.Duration
	// AvoidShedding excludes the homes that shed the call.
	AvoidShedding bool
}

// Pick picks a home and counts the call as outstanding there until Done. It returns
// false if no home is left; the verdict for the caller is then NotRun, because the
// call was not sent.
func (p *Picker) Pick(req Request) (teaseltack.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	local, remote := p.candidates(req, now)
	if len(local)+len(remote) == 0 {
		return teaseltack.Record{}, false
	}
	h := probeCandidate(local)
	if h == nil || !req.PreferProbe {
		h = p.choose(local, remote, req.Objective, now)
	}
	h.outstanding++
	if !h.ejectedUntil.IsZero() {
		h.probing = true
	}
	return h.record, true
}

// Result classifies the end of a call at a home.
type Result uint8

// The results.
const (
	// Answered is a complete answer.
	Answered Result = iota
	// Refused means that the home reported that it did not run the call.
	Refused
	// Shed means that the server reported that it did not run the call.
	Shed
	// Failed is a lost connection, a home that did not answer or a server error.
	Failed
	// CannotServe means that the home did not run the call because its server cannot
	// be called (leaving, absent, unreachable or of another service), or because the
	// call was for another host.
	CannotServe
	// Ignored says nothing about the home: the caller gave up, or the home only issued
	// tickets. It does not affect the home's statistics.
	Ignored
)

// DoneInfo describes the end of a call.
type DoneInfo struct {
	Result Result
	// Load is the load that the home reported with its answer, or nil.
	Load   *teaseltack.Load
	Method teaseltack.Method
	// Elapsed is the duration of the call measured at the entry; Work is the part
	// spent at the server, Waited the part spent in queues.
	Elapsed, Work, Waited time.Duration
}

// Done records the end of a call that Pick counted. It does nothing if the home has
// been removed since.
func (p *Picker) Done(record teaseltack.Record, info DoneInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.find(record)
	if h == nil {
		return
	}
	now := p.cfg.Timers.Now()
	h.outstanding = max(h.outstanding-1, 0)
	h.probing = false
	if info.Load != nil {
		h.load = *info.Load
		h.reportedAt = now
		h.levels[info.Method] = reportedLevel{info.Load.Level, now}
	}
	switch info.Result {
	case Answered:
		h.consecutiveFailures, h.ejections = 0, 0
		h.ejectedUntil = time.Time{}
		h.recordWork(info.Work)
		h.recordOutcome(false)
		p.recordDelay(h, info.Elapsed-info.Work-info.Waited)
	case Refused:
		h.ejectedUntil = time.Time{}
	case CannotServe:
		h.cannotServeUntil = now.Add(cannotServeTime)
	case Shed:
		h.ejectedUntil = time.Time{}
		h.recordOutcome(true)
	case Failed:
		h.recordOutcome(true)
		h.consecutiveFailures = min(h.consecutiveFailures+1, ejectAfter*2)
		p.ejectIfFailing(h, now)
	}
}

// ejectIfFailing ejects a home after ejectAfter consecutive failures, unless more than
// half of the service's homes would then be ejected.
func (p *Picker) ejectIfFailing(h *home, now time.Time) {
	if h.consecutiveFailures < ejectAfter {
		return
	}
	ejected, total := 0, 0
	for _, other := range p.services[h.record.Service] {
		total++
		if other != h && !other.ejectedUntil.IsZero() {
			ejected++
		}
	}
	if (ejected+1)*2 > total {
		return
	}
	length := min(firstEjection<<min(h.ejections, 8), longestEjection)
	h.ejections++
	h.ejectedUntil = now.Add(length)
}

func (p *Picker) find(record teaseltack.Record) *home {
	for _, h := range p.services[record.Service] {
		if h.record.Host == record.Host {
			return h
		}
	}
	return nil
}

// Has reports whether the host is a home of the service.
func (p *Picker) Has(service teaseltack.Service, host teaseltack.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(teaseltack.Record{Service: service, Host: host}) != nil
}

// Status is the state of a home.
type Status struct {
	// Ejected is set from the home's ejection until a later call ends with Answered,
	// Refused or Shed. Unreachable is set while the host is marked as unreachable.
	Ejected, Unreachable bool
	// Load is the load that the home reported last.
	Load teaseltack.Load
}

// Status returns the state of the home on the host. Without a home, only
// Unreachable is set.
func (p *Picker) Status(host teaseltack.HostID) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := Status{Unreachable: p.unreachableHosts[host]}
	for _, homes := range p.services {
		for _, h := range homes {
			if h.record.Host == host {
				status.Ejected, status.Load = !h.ejectedUntil.IsZero(), h.load
			}
		}
	}
	return status
}

// Ejected reports whether the home on the host is ejected.
func (p *Picker) Ejected(host teaseltack.HostID) bool {
	return p.Status(host).Ejected
}
