// Package picker chooses the home of a call: the best of two random choices in
// the own data centre and two elsewhere, by the time that each would take from
// its in-band load, its capacity and its distance. It ejects homes that fail and
// probes them with a trickle.
package picker

import (
	"slices"
	"sync"
	"time"

	"teaseltack"
)

const (
	// ejectAfter is the number of failures in a row that ejects a home.
	ejectAfter = 3
	// firstEjection is the length of a home's first ejection; each further one
	// is twice as long.
	firstEjection = 500 * time.Millisecond
	// longestEjection bounds an ejection.
	longestEjection = 8 * time.Second
	// goneTime is how long a home that takes no new work comes last, unless the
	// membership tells otherwise before.
	goneTime = 2 * time.Second
	// loadAge is the age at which the load that a home told counts for nothing.
	loadAge = time.Second
	// failurePenalty multiplies the score of a home per failure in a row.
	failurePenalty = 2
	// failingPenalty multiplies the expected time of a home whose server fails or
	// turns away every call; such a call has to go elsewhere.
	failingPenalty = 6
	// loadWeight divides the part that calls within the limit add to the
	// expected time, so that emptier homes go first.
	loadWeight = 4
	// coldShare is the part of the announced slots assumed before a home told
	// its limit.
	coldShare = 4
	// stepDelay is the time assumed for the way to and from a data centre, per
	// place in the order of nearness, before it was measured.
	stepDelay = 2 * time.Millisecond
	// remoteShare is added to the expected time of a home in another data centre,
	// as a part of it: bytes between data centres are priced, and a small gain is
	// not worth the way.
	remoteShare = 0.25
	// objectiveSpread is the number of expected times that have to fit into a
	// call's objective before the own data centre is preferred at any difference:
	// the slowest call in a hundred takes about three times the mean on the users'
	// sheets.
	objectiveSpread = 3
	// delayMemory is the number of answers in which a measured delay that was
	// too short is forgotten.
	delayMemory = 256
)

// Config configures a Picker.
type Config struct {
	Timers     teaseltack.Timers
	Rand       teaseltack.RandSource
	DataCentre teaseltack.DataCentre
	// Near lists the other data centres, nearest first; unlisted ones follow.
	Near []teaseltack.DataCentre
	// Uniform ignores load and capacity, for the baseline of a measurement.
	Uniform bool
}

// Picker keeps the homes of each service. It is safe for concurrent use.
type Picker struct {
	cfg      Config
	mu       sync.Mutex
	services map[teaseltack.Service][]*home
	cut      map[teaseltack.DataCentre]bool
	down     map[teaseltack.HostID]bool
	// delays holds the least time beside the work of late answers.
	delays map[teaseltack.DataCentre]time.Duration
}

// New returns a picker without homes.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:      cfg,
		services: map[teaseltack.Service][]*home{},
		cut:      map[teaseltack.DataCentre]bool{},
		down:     map[teaseltack.HostID]bool{},
		delays:   map[teaseltack.DataCentre]time.Duration{},
	}
}

// Update replaces the homes by the records whose server is ready, and keeps
// what is known of those that stay.
func (r *Picker) Update(records []teaseltack.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[teaseltack.HostID]*home{}
	for _, homes := range r.services {
		for _, h := range homes {
			known[h.record.Host] = h
		}
	}
	services := map[teaseltack.Service][]*home{}
	for _, rec := range records {
		if rec.Serving != teaseltack.Ready || rec.State == teaseltack.Dead || rec.State == teaseltack.Left {
			continue
		}
		h := known[rec.Host]
		if h == nil || h.record.Incarnation != rec.Incarnation || h.record.Service != rec.Service {
			h = &home{distance: r.distance(rec.DataCentre), levels: map[teaseltack.Method]toldLevel{}}
		}
		if h.record.Version != rec.Version {
			h.goneUntil = time.Time{}
		}
		h.record = rec
		services[rec.Service] = append(services[rec.Service], h)
	}
	r.services = services
}

// SetDataCentreDown marks a whole data centre as unreachable, or clears the mark.
func (r *Picker) SetDataCentreDown(name teaseltack.DataCentre, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[name] = cut
}

// SetHostDown marks a host as unreachable, or clears the mark.
func (r *Picker) SetHostDown(host teaseltack.HostID, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down {
		r.down[host] = true
		return
	}
	delete(r.down, host)
}

func (r *Picker) distance(name teaseltack.DataCentre) int {
	if name == r.cfg.DataCentre {
		return 0
	}
	if i := slices.Index(r.cfg.Near, name); i >= 0 {
		return i + 1
	}
	return len(r.cfg.Near) + 1
}

// Request describes the call that a home is picked for.
type Request struct {
	Service teaseltack.Service
	Method  teaseltack.Method
	// Bucket is the call's priority bucket; homes that shed it come last.
	Bucket teaseltack.Level
	// Tried lists the homes that refused or failed the call.
	Tried []teaseltack.HostID
	// Probe allows the call to test a home that was ejected.
	Probe bool
	// Objective is the time within which an answer has its full worth; zero where
	// none is known.
	Objective time.Duration
	// AvoidShedding leaves out the homes that shed the call.
	AvoidShedding bool
}

// Pick chooses a home and counts the call as outstanding there until Done. It
// reports false when no home is left. The error verdict of the caller is
// NotRun then, for nothing was handed over.
func (r *Picker) Pick(req Request) (teaseltack.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Timers.Now()
	local, remote := r.candidates(req, now)
	if len(local)+len(remote) == 0 {
		return teaseltack.Record{}, false
	}
	h := dueForProbe(local)
	if h == nil || !req.Probe {
		h = r.choose(local, remote, req.Objective, now)
	}
	h.outstanding++
	if !h.ejectedUntil.IsZero() {
		h.probing = true
	}
	return h.record, true
}

// Result is how a call at a home ended.
type Result uint8

// The results.
const (
	// Answered is a complete answer.
	Answered Result = iota
	// Refused means that the home reported that it did not run the call.
	Refused
	// Shed means that the server reported that it did not run the call.
	Shed
	// Failed is a lost connection, a home that does not answer or a server error.
	Failed
	// Leaving means that the home reported that it takes no new work.
	Leaving
	// Abandoned is a call that the caller gave up; it does not count for or against
	// the home.
	Abandoned
)

// DoneInfo is the result of a call.
type DoneInfo struct {
	Result Result
	// Load is nil if the home reported none.
	Load   *teaseltack.Load
	Method teaseltack.Method
	// Elapsed is the duration of the call measured at the entry, Work the part at
	// the server and Waited the part in queues.
	Elapsed, Work, Waited time.Duration
}

// Done reports the end of a call that Pick counted.
func (r *Picker) Done(record teaseltack.Record, info DoneInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.find(record)
	if h == nil {
		return
	}
	now := r.cfg.Timers.Now()
	h.outstanding = max(h.outstanding-1, 0)
	h.probing = false
	if info.Load != nil {
		h.load = *info.Load
		h.toldAt = now
		h.levels[info.Method] = toldLevel{info.Load.Level, now}
	}
	switch info.Result {
	case Answered:
		h.failures, h.ejections = 0, 0
		h.ejectedUntil = time.Time{}
		h.learnWork(info.Work)
		h.learnFailing(false)
		r.learnDelay(h, info.Elapsed-info.Work-info.Waited)
	case Refused:
		h.ejectedUntil = time.Time{}
	case Leaving:
		h.goneUntil = now.Add(goneTime)
	case Shed:
		h.ejectedUntil = time.Time{}
		h.learnFailing(true)
	case Failed:
		h.learnFailing(true)
		h.failures = min(h.failures+1, ejectAfter*2)
		r.ejectIfDue(h, now)
	}
}

// ejectIfDue ejects a failing home unless half of the service's homes are
// ejected already.
func (r *Picker) ejectIfDue(h *home, now time.Time) {
	if h.failures < ejectAfter {
		return
	}
	ejected, total := 0, 0
	for _, other := range r.services[h.record.Service] {
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

func (r *Picker) find(record teaseltack.Record) *home {
	for _, h := range r.services[record.Service] {
		if h.record.Host == record.Host {
			return h
		}
	}
	return nil
}

// Has reports whether calls of the service may go to the host.
func (r *Picker) Has(service teaseltack.Service, host teaseltack.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(teaseltack.Record{Service: service, Host: host}) != nil
}

// Status is the state of a home.
type Status struct {
	// Ejected is set while the home is ejected for failures, Down while there is no
	// connection to it.
	Ejected, Down bool
	// Load is the load that it reported last.
	Load teaseltack.Load
}

// Status returns what is known of the host's home; the zero value without a home.
func (r *Picker) Status(host teaseltack.HostID) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := Status{Down: r.down[host]}
	for _, homes := range r.services {
		for _, h := range homes {
			if h.record.Host == host {
				status.Ejected, status.Load = !h.ejectedUntil.IsZero(), h.load
			}
		}
	}
	return status
}

// Ejected reports whether the host is ejected now.
func (r *Picker) Ejected(host teaseltack.HostID) bool {
	return r.Status(host).Ejected
}
