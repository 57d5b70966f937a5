// Package claim binds an idempotency key that came without a ticket to one
// ticket, in an entry of the platform's key-value service, so that repeats
// through any daemon use the same ticket.
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
	// callTimeout bounds one call to the platform.
	callTimeout = 300 * time.Millisecond
	// maxShareFactor is the part of the fleet's claim rate that one daemon may
	// use, as a multiple of an equal share, since callers may be spread
	// unevenly over daemons.
	maxShareFactor = 8
	// minRate is the number of claims per second that a daemon may write in any
	// case.
	minRate = 0.5
)

// Config configures the claims.
type Config struct {
	Timers teaseltack.Timers
	Store  teaseltack.KeyValue
	// KeyLifetime is how long a key stays bound to its ticket.
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

// New returns Claims with the rate of a fleet of one daemon.
func New(cfg Config) *Claims {
	return &Claims{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.FleetRate), burst)}
}

// SetDaemons sets the number of daemons that share FleetRate.
func (c *Claims) SetDaemons(count int) {
	share := c.cfg.FleetRate / float64(max(count, 1)) * maxShareFactor
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.SetLimit(rate.Limit(min(max(share, minRate), c.cfg.FleetRate)))
}

// Claim is a stored binding of a key to a ticket.
type Claim struct {
	Ticket   teaseltack.Ticket
	key      string
	revision uint64
}

func storeKey(target teaseltack.Target, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + target.String() + "/" + hex.EncodeToString(sum[:16])
}

// Find returns the stored claim of a key, or nil if there is none.
func (c *Claims) Find(ctx context.Context, target teaseltack.Target, key string) (*Claim, *teaseltack.Refusal) {
	name := storeKey(target, key)
	entry, err := c.get(ctx, name)
	if err != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "reading the claim %s: %v", name, err)
	}
	if entry.Revision == 0 {
		return nil, nil
	}
	return &Claim{Ticket: teaseltack.Ticket(entry.Value), key: name, revision: entry.Revision}, nil
}

// Claim binds the key to the ticket, or returns the claim that is already
// stored. A refusal has the verdict NotRun only if no write was attempted.
func (c *Claims) Claim(ctx context.Context, target teaseltack.Target, key string, ticket teaseltack.Ticket) (*Claim, *teaseltack.Refusal) {
	return c.write(ctx, storeKey(target, key), ticket, 0)
}

// Replace binds the key to another ticket once the earlier ticket can never
// run. If another daemon replaced it first, Replace returns that daemon's
// claim.
func (c *Claims) Replace(ctx context.Context, earlier *Claim, ticket teaseltack.Ticket) (*Claim, *teaseltack.Refusal) {
	return c.write(ctx, earlier.key, ticket, earlier.revision)
}

func (c *Claims) write(ctx context.Context, name string, ticket teaseltack.Ticket, expected uint64) (*Claim, *teaseltack.Refusal) {
	if !c.allow() {
		return nil, teaseltack.Refuse(teaseltack.ReasonClaimRate, "writing the claim %s: the limit of this daemon, %.1f claims per second, is exceeded", name, c.limiter.Limit())
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := c.cfg.Store.Swap(callCtx, name, []byte(ticket), expected, c.cfg.KeyLifetime)
	if err != nil {
		return c.readBack(ctx, name, ticket, err)
	}
	return c.bound(name, entry, ticket)
}

// readBack reads the claim that is stored after a write whose answer was lost.
func (c *Claims) readBack(ctx context.Context, name string, ticket teaseltack.Ticket, cause error) (*Claim, *teaseltack.Refusal) {
	entry, err := c.get(ctx, name)
	if err != nil {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "writing the claim %s: %v; reading it back: %v", name, cause, err)
	}
	if entry.Revision == 0 {
		// The write may still be in transit and take effect later.
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "writing the claim %s: %v", name, cause)
	}
	return c.bound(name, entry, ticket)
}

func (c *Claims) bound(name string, entry teaseltack.KVEntry, ticket teaseltack.Ticket) (*Claim, *teaseltack.Refusal) {
	bound := teaseltack.Ticket(entry.Value)
	if entry.Swapped {
		bound = ticket
	}
	if bound == "" {
		return nil, teaseltack.Uncertain(teaseltack.ReasonPlatform, "the claim %s expired while it was being written", name)
	}
	return &Claim{Ticket: bound, key: name, revision: entry.Revision}, nil
}

func (c *Claims) get(ctx context.Context, name string) (teaseltack.KVEntry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Store.Get(callCtx, name)
}

func (c *Claims) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.AllowN(c.cfg.Timers.Now(), 1)
}
