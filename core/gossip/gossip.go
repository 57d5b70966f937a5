// Package gossip spreads membership records and configuration generations by
// periodic exchanges between daemons. The partners of a daemon in its own data
// centre are the hosts 1, 2, 4, … places after it in rendezvous order, wrapping
// around; this graph is connected and has logarithmic diameter. Each period a daemon
// calls the next host and one of the other partners in turn. In other data centres
// it calls one host at a time in rotation. The load per daemon does not depend on
// the size of the fleet.
package gossip

import (
	"context"
	"sync"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/member"
)

const (
	// period is the time between two rounds of exchanges.
	period = time.Second
	// callTimeout limits one exchange and the calls that follow from it.
	callTimeout = 900 * time.Millisecond
	// remoteEvery is the number of rounds between two calls to another data
	// centre.
	remoteEvery = 2
	// seedEvery is the number of rounds between two calls to a dead host and a seed.
	seedEvery = 10
	// suspectAfter is the number of consecutive failed calls after which a host is
	// marked as suspect.
	suspectAfter = 2
	// unreachableAfter is the time without an answer after which failing calls make
	// a data centre unreachable.
	unreachableAfter = 5 * time.Second
)

// Config configures a Gossiper.
type Config struct {
	Timers  teaseltack.Timers
	Rand    teaseltack.RandSource
	Members *member.Table
	Peers   teaseltack.PeerClient
	// Seeds returns the addresses of the seed daemons.
	Seeds func() []string
	// Generation returns the generation in force and the time since it was
	// compared with the platform.
	Generation func() (teaseltack.Generation, time.Duration)
	// OnGeneration is called without locks, on the goroutine of the exchange, with
	// the generation that a peer reports and the time since it was compared with the
	// platform.
	OnGeneration func(generation teaseltack.Generation, age time.Duration)
	// OnDocument is called without locks with a newer document fetched from a peer,
	// by one goroutine at a time.
	OnDocument func(*operatorv1.Document)
	// OnUnreachable is called without locks, on the goroutine of an exchange or a round,
	// when a data centre becomes unreachable or reachable again. Calls do not overlap, and
	// the last one tells the current state.
	OnUnreachable func(name teaseltack.DataCentre, unreachable bool)
}

// Gossiper runs the exchanges. It is safe for concurrent use.
type Gossiper struct {
	cfg   Config
	mu    sync.Mutex
	round int
	// consecutiveFailures counts the failed calls per host since its last answer.
	consecutiveFailures map[teaseltack.HostID]int
	remoteStates        map[teaseltack.DataCentre]*remoteState
	// reported holds the data centres last reported as unreachable, and reporting is set
	// while OnUnreachable is called.
	reported  map[teaseltack.DataCentre]bool
	reporting bool
	// inProgress holds the addresses of the exchanges in progress.
	inProgress map[string]bool
	// fetching is set while a document is being fetched, waiting is the last notice that
	// arrived meanwhile.
	fetching bool
	waiting  *notice
	// contacted is set once another daemon has answered or called.
	contacted  bool
	cachedView *view
	stop       func()
}

// New returns a gossiper that runs a round each period until Close.
func New(cfg Config) *Gossiper {
	g := &Gossiper{
		cfg:                 cfg,
		consecutiveFailures: map[teaseltack.HostID]int{},
		remoteStates:        map[teaseltack.DataCentre]*remoteState{},
		reported:            map[teaseltack.DataCentre]bool{},
		inProgress:          map[string]bool{},
	}
	g.stop = cfg.Timers.Every(period, g.tick)
	return g
}

// Close stops the periodic rounds; exchanges in progress continue.
func (g *Gossiper) Close() {
	g.stop()
}

func (g *Gossiper) tick() {
	g.cfg.Members.Tick()
	g.forgetDataCentres()
	for _, p := range g.choosePartners() {
		go g.exchange(p)
	}
}

// ContactSeeds starts exchanges with up to three seeds, from a random one on. A
// daemon calls it at its start.
func (g *Gossiper) ContactSeeds() {
	const maxSeeds = 3
	seeds := g.cfg.Seeds()
	if len(seeds) == 0 {
		return
	}
	first := g.cfg.Rand.Uint64() % uint64(len(seeds))
	for i := range min(maxSeeds, len(seeds)) {
		go g.exchange(partner{address: seeds[(int(first)+i)%len(seeds)]})
	}
}

// HasContact reports whether another daemon has answered or called.
func (g *Gossiper) HasContact() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contacted
}

func (g *Gossiper) markContacted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contacted = true
}

// ExchangeAll starts an exchange with all local partners and one host of each other
// data centre, to propagate a change without waiting for the next round.
func (g *Gossiper) ExchangeAll() {
	view := g.view()
	for _, host := range view.localPartners() {
		go g.exchange(partnerOf(view.records[host]))
	}
	g.mu.Lock()
	round := g.round
	g.mu.Unlock()
	for _, p := range view.remotePartners(round) {
		go g.exchange(p)
	}
}

// tryBegin reports whether no exchange with the address is in progress, and marks
// one as begun; the caller calls end if it returns true.
func (g *Gossiper) tryBegin(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inProgress[address] {
		return false
	}
	g.inProgress[address] = true
	return true
}

func (g *Gossiper) end(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, address)
}

// exchange sends the digest, the generation and the recent changes to the partner, and
// fetches what is newer there.
func (g *Gossiper) exchange(p partner) {
	if p.address == g.cfg.Members.Own().PeerAddress || !g.tryBegin(p.address) {
		return
	}
	defer g.end(p.address)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := g.cfg.Peers.Exchange(ctx, p.address, g.message(p.host))
	if err != nil {
		g.recordFailure(p)
		return
	}
	g.recordAnswer(p)
	g.applyAnswer(ctx, p.address, answer)
	g.markContacted()
}

func (g *Gossiper) message(to teaseltack.HostID) teaseltack.Exchange {
	own := g.cfg.Members.Own()
	digest, _ := g.cfg.Members.Digest()
	generation, age := g.cfg.Generation()
	return teaseltack.Exchange{
		From:        own.Host,
		To:          to,
		FromAddress: own.PeerAddress,
		Digest:      digest,
		Generation:  generation,
		FreshAge:    age,
		Changed:     g.cfg.Members.RecentChanges(),
	}
}

// applyAnswer applies the records and the generation of an answer. If the digests still
// differ, it exchanges the records of the differing buckets.
func (g *Gossiper) applyAnswer(ctx context.Context, address string, answer teaseltack.Exchange) {
	g.cfg.Members.Merge(answer.Changed)
	g.cfg.OnGeneration(answer.Generation, answer.FreshAge)
	g.fetch(ctx, address, answer.Generation)
	digest, own := g.cfg.Members.Digest()
	if digest == answer.Digest || len(answer.Buckets) != len(own) {
		return
	}
	var differing []uint32
	for i := range own {
		if own[i] != answer.Buckets[i] {
			differing = append(differing, uint32(i))
		}
	}
	if len(differing) == 0 {
		return
	}
	records, err := g.cfg.Peers.Pull(ctx, address, differing, g.cfg.Members.InBuckets(differing))
	if err == nil {
		g.cfg.Members.Merge(records)
	}
}

// notice names a partner and the newer generation that it has.
type notice struct {
	address    string
	generation teaseltack.Generation
}

// fetch fetches a newer document, from one partner at a time. A notice that arrives
// meanwhile waits, since the partner may be frozen; the last one is kept.
func (g *Gossiper) fetch(ctx context.Context, address string, generation teaseltack.Generation) {
	if !g.tryFetch(notice{address, generation}) {
		return
	}
	defer g.endFetch()
	known, _ := g.cfg.Generation()
	if generation <= known {
		return
	}
	fetched, err := g.cfg.Peers.FetchDocument(ctx, address, known)
	if err == nil && fetched != nil {
		g.cfg.OnDocument(fetched)
	}
}

// tryFetch reports whether no document is being fetched, and marks one as being fetched;
// the caller calls endFetch if it returns true.
func (g *Gossiper) tryFetch(n notice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching {
		g.waiting = &n
		return false
	}
	g.fetching = true
	return true
}

// endFetch ends a fetch and begins that of the notice that waits.
func (g *Gossiper) endFetch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetching = false
	if next := g.waiting; next != nil {
		g.waiting = nil
		go g.fetchFrom(next.address, next.generation)
	}
}

// Receive applies an exchange that a peer started and returns the answer. A newer
// document is fetched in the background.
func (g *Gossiper) Receive(message teaseltack.Exchange) teaseltack.Exchange {
	g.cfg.Members.Merge(message.Changed)
	g.markContacted()
	g.cfg.OnGeneration(message.Generation, message.FreshAge)
	known, age := g.cfg.Generation()
	if message.Generation > known {
		go g.fetchFrom(message.FromAddress, message.Generation)
	}
	own := g.cfg.Members.Own()
	digest, buckets := g.cfg.Members.Digest()
	answer := teaseltack.Exchange{From: own.Host, Digest: digest, Generation: known, FreshAge: age}
	if digest != message.Digest {
		answer.Buckets = buckets
		answer.Changed = g.cfg.Members.RecentChanges()
	}
	return answer
}

func (g *Gossiper) fetchFrom(address string, generation teaseltack.Generation) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	g.fetch(ctx, address, generation)
}
