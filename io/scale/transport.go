package scale

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	platformv1 "teaseltack/gen/teaseltack/platform/v1"

	"teaseltack"
	"teaseltack/io/fakekv"
)

func (s *simulation) findNode(address string) (*node, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := s.nodes[address]
	if n == nil {
		return nil, fmt.Errorf("no node with address %s", address)
	}
	return n, nil
}

// countBytes adds a call's bytes twice, since sender and receiver both count them.
func (s *simulation) countBytes(messages ...proto.Message) {
	total := s.overhead
	for _, m := range messages {
		total += proto.Size(m)
	}
	s.bytes.Add(int64(2 * total))
}

// Exchange implements teaseltack.PeerClient and counts the bytes.
func (s *simulation) Exchange(_ context.Context, address string, m teaseltack.Exchange) (teaseltack.Exchange, error) {
	n, err := s.findNode(address)
	if err != nil {
		return teaseltack.Exchange{}, err
	}
	answer := n.gossiper.Receive(m)
	s.countBytes(
		&peerv1.ExchangeRequest{FromHost: string(m.From), ToHost: string(m.To), FromAddress: m.FromAddress, Digest: m.Digest, Generation: uint64(m.Generation), FreshAgeMs: m.FreshAge.Milliseconds(), Changed: s.codec.RecordsOut(m.Changed)},
		&peerv1.ExchangeResponse{Digest: answer.Digest, Generation: uint64(answer.Generation), Buckets: answer.Buckets, Changed: s.codec.RecordsOut(answer.Changed), FreshAgeMs: answer.FreshAge.Milliseconds()},
	)
	return answer, nil
}

// Pull implements teaseltack.PeerClient and counts the bytes.
func (s *simulation) Pull(_ context.Context, address string, buckets []uint32, records []teaseltack.Record) ([]teaseltack.Record, error) {
	n, err := s.findNode(address)
	if err != nil {
		return nil, err
	}
	answer := n.members.InBuckets(buckets)
	n.members.Merge(records)
	s.countBytes(&peerv1.PullRequest{Buckets: buckets, Records: s.codec.RecordsOut(records)}, &peerv1.PullResponse{Records: s.codec.RecordsOut(answer)})
	return answer, nil
}

// FetchDocument implements teaseltack.PeerClient and counts the bytes.
func (s *simulation) FetchDocument(_ context.Context, address string, above teaseltack.Generation) (*operatorv1.Document, error) {
	n, err := s.findNode(address)
	if err != nil {
		return nil, err
	}
	document := n.holder.Document()
	if document.GetGeneration() <= uint64(above) {
		document = nil
	}
	s.countBytes(&peerv1.FetchDocumentRequest{AboveGeneration: uint64(above)}, &peerv1.FetchDocumentResponse{Document: document})
	return document, nil
}

// platformStore calls the stand-in platform without a network.
type platformStore struct {
	platform *fakekv.Store
}

// Get implements teaseltack.KeyValue.
func (s platformStore) Get(ctx context.Context, key string) (teaseltack.KVEntry, error) {
	r, err := s.platform.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision}, nil
}

// Swap implements teaseltack.KeyValue.
func (s platformStore) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (teaseltack.KVEntry, error) {
	r, err := s.platform.Swap(ctx, connect.NewRequest(&platformv1.SwapRequest{Key: key, Value: value, ExpectedRevision: expected, LeaseMs: lease.Milliseconds()}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision, Swapped: r.Msg.Swapped}, nil
}

// Watch implements teaseltack.KeyValue.
func (s platformStore) Watch(ctx context.Context, key string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	r, err := s.platform.Watch(ctx, connect.NewRequest(&platformv1.WatchRequest{Key: key, KnownRevision: known, WaitMs: wait.Milliseconds()}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	if !r.Msg.Changed {
		return teaseltack.KVEntry{Revision: known}, nil
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision}, nil
}
