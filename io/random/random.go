// Package random is a source of random numbers for the decisions.
package random

import (
	crand "crypto/rand"
	"math/rand/v2"
	"sync"

	"teaseltack"
)

// Source is a ChaCha8 generator behind a lock.
type Source struct {
	mu        sync.Mutex
	generator *rand.ChaCha8
}

var _ teaseltack.RandSource = (*Source)(nil)

// New returns a source with a seed from the system, fit for secrets.
func New() *Source {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return &Source{generator: rand.NewChaCha8(seed)}
}

// Seeded returns a source that repeats itself, for measurements.
func Seeded(seed byte) *Source {
	return &Source{generator: rand.NewChaCha8([32]byte{seed})}
}

// Uint64 draws a number.
func (s *Source) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generator.Uint64()
}
