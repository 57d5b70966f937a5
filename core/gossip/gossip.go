// Package gossip decides which daemons exchange control messages. In its data
// centre a daemon has partners at distances 1, 2, 4, … on a ring ordered by
// hash, a connected graph of logarithmic diameter; it calls the next one and a
// rotating one each period. Across data centres it calls one host in turn. The
// load per daemon does not depend on the size of the fleet.
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
	// callTime bounds one control call.
	callTime = 900 * time.Millisecond
	// crossEvery is the number of rounds between two calls to another data
	// centre.
	crossEvery = 2
	// seedEvery is the number of rounds between two calls to a lost host or a
	// first contact.
	seedEvery = 10
	// suspectAfter is the number of failed calls in a row that raises suspicion.
	suspectAfter = 2
	// cutAfter is the time without an answer from a data centre, while calls
	// fail, after which it counts as out of reach.
	cutAfter = 5 * time.Second
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
	// OnGeneration is called without locks with the generation that a peer reports
	// and the time since it was compared with the platform.
	OnGeneration func(generation teaseltack.Generation, age time.Duration)
	// OnDocument is called without locks with a newer document from a peer.
	OnDocument func(*operatorv1.Document)
	// OnUnreachable is called without locks when a data centre becomes unreachable
	// or reachable again.
	OnUnreachable func(name teaseltack.DataCentre, unreachable bool)
}

// Gossiper runs the exchanges. It is safe for concurrent use.
type Gossiper struct {
	cfg      Config
	mu       sync.Mutex
	round    int
	failures map[teaseltack.HostID]int
	reaches  map[teaseltack.DataCentre]*reach
	busy     map[string]bool
	// contacted is set once any other daemon answered or called.
	contacted bool
	kept      *view
	stop      func()
}

// New returns a gossiper that runs on the timers until Close.
func New(cfg Config) *Gossiper {
	m := &Gossiper{
		cfg:      cfg,
		failures: map[teaseltack.HostID]int{},
		reaches:  map[teaseltack.DataCentre]*reach{},
		busy:     map[string]bool{},
	}
	m.stop = cfg.Timers.Every(period, m.tick)
	return m
}

// Close ends the subscription to the timers.
func (m *Gossiper) Close() {
	m.stop()
}

func (m *Gossiper) tick() {
	m.cfg.Members.Tick()
	for _, p := range m.choose() {
		go m.exchange(p)
	}
}

// ContactSeeds starts an exchange with a few seeds, as a starting daemon does.
func (m *Gossiper) ContactSeeds() {
	const most = 3
	seeds := m.cfg.Seeds()
	if len(seeds) == 0 {
		return
	}
	first := m.cfg.Rand.Uint64() % uint64(len(seeds))
	for i := range min(most, len(seeds)) {
		go m.exchange(partner{address: seeds[(int(first)+i)%len(seeds)]})
	}
}

// HasContact reports whether any other daemon has answered or called.
func (m *Gossiper) HasContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contacted
}

func (m *Gossiper) hear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacted = true
}

// ExchangeAll starts an exchange with all partners, to propagate a change without
// waiting for the next round.
func (m *Gossiper) ExchangeAll() {
	view := m.view()
	for _, host := range view.chords() {
		go m.exchange(partnerOf(view.records[host]))
	}
	m.mu.Lock()
	round := m.round
	m.mu.Unlock()
	for _, p := range view.across(round) {
		go m.exchange(p)
	}
}

// begin keeps one exchange per address in progress.
func (m *Gossiper) begin(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[address] {
		return false
	}
	m.busy[address] = true
	return true
}

func (m *Gossiper) end(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, address)
}

// exchange tells the partner the digest, the generation and the news, and
// fetches what the partner knows better.
func (m *Gossiper) exchange(p partner) {
	if p.address == m.cfg.Members.Own().PeerAddress || !m.begin(p.address) {
		return
	}
	defer m.end(p.address)
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	answer, err := m.cfg.Peers.Exchange(ctx, p.address, m.message(p.host))
	if err != nil {
		m.failed(p)
		return
	}
	m.answered(p)
	m.absorb(ctx, p.address, answer)
	m.hear()
}

func (m *Gossiper) message(to teaseltack.HostID) teaseltack.Exchange {
	own := m.cfg.Members.Own()
	digest, _ := m.cfg.Members.Digest()
	generation, age := m.cfg.Generation()
	return teaseltack.Exchange{
		From:        own.Host,
		To:          to,
		FromAddress: own.PeerAddress,
		Digest:      digest,
		Generation:  generation,
		FreshAge:    age,
		Changed:     m.cfg.Members.RecentChanges(),
	}
}

// absorb takes in an answer.
func (m *Gossiper) absorb(ctx context.Context, address string, answer teaseltack.Exchange) {
	m.cfg.Members.Merge(answer.Changed)
	m.cfg.OnGeneration(answer.Generation, answer.FreshAge)
	m.fetch(ctx, address, answer.Generation)
	digest, own := m.cfg.Members.Digest()
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
	records, err := m.cfg.Peers.Pull(ctx, address, differing, m.cfg.Members.InBuckets(differing))
	if err == nil {
		m.cfg.Members.Merge(records)
	}
}

// fetch gets a newer document, from one partner at a time.
func (m *Gossiper) fetch(ctx context.Context, address string, generation teaseltack.Generation) {
	const document = "document"
	if !m.begin(document) {
		return
	}
	defer m.end(document)
	known, _ := m.cfg.Generation()
	if generation <= known {
		return
	}
	fetched, err := m.cfg.Peers.FetchDocument(ctx, address, known)
	if err == nil && fetched != nil {
		m.cfg.OnDocument(fetched)
	}
}

// Receive answers an exchange that a peer started.
func (m *Gossiper) Receive(message teaseltack.Exchange) teaseltack.Exchange {
	m.cfg.Members.Merge(message.Changed)
	m.hear()
	m.cfg.OnGeneration(message.Generation, message.FreshAge)
	known, age := m.cfg.Generation()
	if message.Generation > known {
		go m.fetchFrom(message.FromAddress, message.Generation)
	}
	own := m.cfg.Members.Own()
	digest, buckets := m.cfg.Members.Digest()
	answer := teaseltack.Exchange{From: own.Host, Digest: digest, Generation: known, FreshAge: age}
	if digest != message.Digest {
		answer.Buckets = buckets
		answer.Changed = m.cfg.Members.RecentChanges()
	}
	return answer
}

func (m *Gossiper) fetchFrom(address string, generation teaseltack.Generation) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	m.fetch(ctx, address, generation)
}
