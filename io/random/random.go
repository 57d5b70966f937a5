// Package random generates random numbers.
package random

import (
	crand "crypto/rand"
	"math/rand/v2"
	"sync"

	"teaseltack"
)

// Source is a ChaCha8 generator that is safe for concurrent use.
type Source struct {
	mu        sync.Mutex
	generator *rand.ChaCha8
}

var _ teaseltack.RandSource = (*Source)(nil)

// New returns a source with a seed from the operating system; its numbers are fit
// for secrets.
func New() *Source {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return &Source{generator: rand.NewChaCha8(seed)}
}

// Seeded returns a source with a reproducible sequence, for measurements.
func Seeded(seed byte) *Source {
	return &Source{generator: rand.NewChaCha8([32]byte{seed})}
}

// Uint64 implements teaseltack.RandSource.
func (s *Source) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generator.Uint64()
}
