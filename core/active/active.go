// Package active holds the configuration in force at one stand-alone daemon. Its
// generation never decreases. Package follow is its counterpart in the sidecar.
package active

import (
	"sync"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
)

// Config configures a Holder.
type Config struct {
	Timers teaseltack.Timers
	// Default is the policy of every target until the first document is in force.
	Default teaseltack.Policy
	// OnChange is called without locks when a document has come into force, on the
	// goroutine that calls Adopt; it may be nil.
	OnChange func(*operatorv1.Document)
}

// Holder keeps the document in force. It is safe for concurrent use.
type Holder struct {
	cfg      Config
	mu       sync.RWMutex
	document *operatorv1.Document
	policies map[teaseltack.Target]teaseltack.Policy
	leaving  map[teaseltack.HostID]bool
	// highest is the highest generation known, in force or not.
	highest     teaseltack.Generation
	confirmedAt time.Time
}

var _ teaseltack.Policies = (*Holder)(nil)

// New returns a holder of the empty document, generation 0.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, document: &operatorv1.Document{}}
}

// Adopt puts a document into force if its generation is higher than the one
// in force, and reports whether it did.
func (h *Holder) Adopt(document *operatorv1.Document) bool {
	policies := make(map[teaseltack.Target]teaseltack.Policy, len(document.GetPolicies()))
	for _, p := range document.GetPolicies() {
		policy := policyFrom(p)
		policies[policy.Target] = policy
	}
	leaving := make(map[teaseltack.HostID]bool, len(document.GetLeaving()))
	for _, m := range document.GetLeaving() {
		leaving[teaseltack.HostID(m.GetHost())] = true
	}
	h.mu.Lock()
	if document.GetGeneration() <= h.document.GetGeneration() {
		h.mu.Unlock()
		return false
	}
	h.document, h.policies, h.leaving = document, policies, leaving
	h.highest = max(h.highest, teaseltack.Generation(document.GetGeneration()))
	h.mu.Unlock()
	if h.cfg.OnChange != nil {
		h.cfg.OnChange(document)
	}
	return true
}

func policyFrom(p *operatorv1.Policy) teaseltack.Policy {
	class, err := teaseltack.ParseClass(p.GetClass())
	if err != nil {
		class = teaseltack.ClassNormal
	}
	return teaseltack.Policy{
		Target:        teaseltack.Target{Service: teaseltack.Service(p.GetService()), Method: teaseltack.Method(p.GetMethod())},
		Class:         class,
		Lifetime:      time.Duration(p.GetLifetimeMs()) * time.Millisecond,
		NonIdempotent: p.GetNonIdempotent(),
		Retries:       teaseltack.Retries(p.GetRetries()),
	}
}

// Policy returns the policy of a target, which is the default until the first
// document is in force.
func (h *Holder) Policy(target teaseltack.Target) (teaseltack.Policy, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.document.GetGeneration() == 0 {
		policy := h.cfg.Default
		policy.Target = target
		return policy, true
	}
	policy, ok := h.policies[target]
	return policy, ok
}

// Leaving reports whether operators marked the host as leaving.
func (h *Holder) Leaving(host teaseltack.HostID) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaving[host]
}

// Document returns the document in force; it must not be changed.
func (h *Holder) Document() *operatorv1.Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.document
}

// Generation returns the generation in force and the time since it was last
// compared with the platform, by this daemon or by a peer that reported it.
func (h *Holder) Generation() (teaseltack.Generation, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return teaseltack.Generation(h.document.GetGeneration()), h.cfg.Timers.Now().Sub(h.confirmedAt)
}

// Confirm records that the generation was compared with the platform the given time
// ago. It ignores a generation below the highest known one.
func (h *Holder) Confirm(generation teaseltack.Generation, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highest = max(h.highest, generation)
	if generation < h.highest {
		return
	}
	if at := h.cfg.Timers.Now().Add(-age); at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// Highest returns the highest generation known, which may not yet be in force.
func (h *Holder) Highest() teaseltack.Generation {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.highest
}
