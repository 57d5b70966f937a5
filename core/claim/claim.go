// Package claim binds a bare idempotency key to one ticket by one entry in the
// platform's key-value service, so that repeats through any daemon follow the
// same ticket.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"teaseltack"
)

const (
	// burst is the number of claims that a daemon may write at once.
	burst = 20
	// callTime bounds one call to the platform.
	callTime = 300 * time.Millisecond
	// unevenness is how much of the fleet's budget one daemon may use, as a
	// multiple of an equal share.
	unevenness = 8
	// leastRate is the claims per second that a daemon may always write.
	leastRate = 0.5
)

// Config configures the claims.
type Config struct {
	Timers teaseltack.Timers
	Store  teaseltack.KeyValue
	// KeyLifetime is how long a key binds a request.
	KeyLifetime time.Duration
	// FleetRate is the number of claims per second that the platform can take
	// from all daemons together.
	FleetRate float64
}

// Claims reads and writes claims. It is safe for concurrent use.
type Claims struct {
	cfg     Config
	mu      sync.Mutex
	limiter *rate.Limiter
}

// New returns claims for a fleet of one daemon.
func New(cfg Config) *Claims {
	return &Claims{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.FleetRate), burst)}
}

// SetDaemons sets the number of daemons that share the platform.
func (c *Claims) SetDaemons(count int) {
	share := c.cfg.FleetRate / float64(max(count, 1)) * unevenness
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.SetLimit(rate.Limit(min(max(share, leastRate), c.cfg.FleetRate)))
}

// Binding is a stored claim: a key bound to a ticket.
type Binding struct {
	Ticket   teaseltack.Ticket
	key      string
	revision uint64
}

func storeKey(target teaseltack.Target, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + target.String() + "/" + hex.EncodeToString(sum[:16])
}

// Find returns the stored claim of a key, or nil.
func (c *Claims) Find(ctx context.Context, target teaseltack.Target, key string) (*Binding, *teaseltack.Refusal) {
	name := storeKey(target, key)
	entry, err := c.get(ctx, name)
	if err != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "reading the claim: %v", err)
	}
	if entry.Revision == 0 {
		return nil, nil
	}
	return &Binding{Ticket: teaseltack.Ticket(entry.Value), key: name, revision: entry.Revision}, nil
}

// Claim binds the key to the ticket, or returns the claim that is already stored.
// Its refusal is NotRun only if nothing was written.
func (c *Claims) Claim(ctx context.Context, target teaseltack.Target, key string, ticket teaseltack.Ticket) (*Binding, *teaseltack.Refusal) {
	return c.write(ctx, storeKey(target, key), ticket, 0)
}

// Replace binds the key to another ticket when the earlier one can never run.
// Another daemon's replacement wins if it came first.
func (c *Claims) Replace(ctx context.Context, earlier *Binding, ticket teaseltack.Ticket) (*Binding, *teaseltack.Refusal) {
	return c.write(ctx, earlier.key, ticket, earlier.revision)
}

func (c *Claims) write(ctx context.Context, name string, ticket teaseltack.Ticket, expected uint64) (*Binding, *teaseltack.Refusal) {
	if !c.allow() {
		return nil, teaseltack.Refuse(teaseltack.ReasonClaimRate, "too many keys without tickets")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	entry, err := c.cfg.Store.Swap(callCtx, name, []byte(ticket), expected, c.cfg.KeyLifetime)
	if err != nil {
		return c.readBack(ctx, name, ticket, err)
	}
	return c.bound(name, entry, ticket)
}

// readBack resolves a write whose answer was lost by the claim that stands.
func (c *Claims) readBack(ctx context.Context, name string, ticket teaseltack.Ticket, cause error) (*Binding, *teaseltack.Refusal) {
	entry, err := c.get(ctx, name)
	if err != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "writing the claim: %v; reading it back: %v", cause, err)
	}
	if entry.Revision == 0 {
		// The write may still be on its way and take effect later.
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "writing the claim: %v", cause)
	}
	return c.bound(name, entry, ticket)
}

func (c *Claims) bound(name string, entry teaseltack.KVEntry, ticket teaseltack.Ticket) (*Binding, *teaseltack.Refusal) {
	standing := teaseltack.Ticket(entry.Value)
	if entry.Swapped {
		standing = ticket
	}
	if standing == "" {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "the claim ended while it was written")
	}
	return &Binding{Ticket: standing, key: name, revision: entry.Revision}, nil
}

func (c *Claims) get(ctx context.Context, name string) (teaseltack.KVEntry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.cfg.Store.Get(callCtx, name)
}

func (c *Claims) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.AllowN(c.cfg.Timers.Now(), 1)
}
