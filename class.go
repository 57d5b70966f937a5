package teaseltack

import "fmt"

// Class is the importance of a call; a higher class is shed later.
type Class uint8

// The classes in rising importance.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassProtected
)

// ClassCount is the number of classes.
const ClassCount = 4

// RankBuckets is the number of shedding steps within one class.
const RankBuckets = 32

// LevelCount is the number of priority buckets over all classes.
const LevelCount = ClassCount * RankBuckets

var classNames = [ClassCount]string{"low", "normal", "high", "protected"}

// String returns the class's name in settings and headers.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class-%d", uint8(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the name that String returns.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return ClassLow, fmt.Errorf("class is %q, allowed are low, normal, high, protected", name)
}

// Priority orders calls: by class, then nested calls before root calls, then by
// the rank of the root request. A higher priority is shed later.
type Priority struct {
	Class  Class
	Nested bool
	// Rank is a hash of the root request id, the same at every hop.
	Rank uint32
}

// Bucket returns the priority's bucket, comparable with a Level. It ignores
// Nested, so a level applies to nested and root calls of one rank alike.
func (p Priority) Bucket() Level {
	const rankSpan = 1 << 32 / RankBuckets
	return Level(uint32(p.Class)*RankBuckets + p.Rank/rankSpan)
}

// Less reports whether p is shed before q.
func (p Priority) Less(q Priority) bool {
	if p.Class != q.Class {
		return p.Class < q.Class
	}
	if p.Nested != q.Nested {
		return !p.Nested
	}
	return p.Rank < q.Rank
}
