package teaseltack

import "time"

// DigestBucketCount is the number of hash buckets whose digests are compared to
// find the membership records that differ.
const DigestBucketCount = 64

// Exchange is the periodic gossip message between two daemons, and its answer.
type Exchange struct {
	From HostID
	// To is the host that the sender expects at the address; empty at first
	// contact.
	To          HostID
	FromAddress string
	Digest      uint64
	Generation  Generation
	// FreshAge is the time since any daemon last compared the generation with the
	// platform.
	FreshAge time.Duration
	Changed  []Record
	// Buckets are the digests per bucket, in an answer whose digest differs.
	Buckets []uint64
}
