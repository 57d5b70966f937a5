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

func (f *fleet) find(address string) (*node, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := f.nodes[address]
	if n == nil {
		return nil, fmt.Errorf("nobody at %s", address)
	}
	return n, nil
}

// count adds a call's bytes twice, once at each end.
func (f *fleet) count(messages ...proto.Message) {
	total := f.overhead
	for _, m := range messages {
		total += proto.Size(m)
	}
	f.bytes.Add(int64(2 * total))
}

// Exchange passes a control message on and counts it.
func (f *fleet) Exchange(_ context.Context, address string, m teaseltack.Exchange) (teaseltack.Exchange, error) {
	n, err := f.find(address)
	if err != nil {
		return teaseltack.Exchange{}, err
	}
	answer := n.gossiper.Receive(m)
	f.count(
		&peerv1.ExchangeRequest{FromHost: string(m.From), ToHost: string(m.To), FromAddress: m.FromAddress, Digest: m.Digest, Generation: uint64(m.Generation), FreshAgeMs: m.FreshAge.Milliseconds(), Changed: f.codec.RecordsOut(m.Changed)},
		&peerv1.ExchangeResponse{Digest: answer.Digest, Generation: uint64(answer.Generation), Buckets: answer.Buckets, Changed: f.codec.RecordsOut(answer.Changed), FreshAgeMs: answer.FreshAge.Milliseconds()},
	)
	return answer, nil
}

// Pull swaps records and counts them.
func (f *fleet) Pull(_ context.Context, address string, buckets []uint32, records []teaseltack.Record) ([]teaseltack.Record, error) {
	n, err := f.find(address)
	if err != nil {
		return nil, err
	}
	answer := n.members.InBuckets(buckets)
	n.members.Merge(records)
	f.count(&peerv1.PullRequest{Buckets: buckets, Records: f.codec.RecordsOut(records)}, &peerv1.PullResponse{Records: f.codec.RecordsOut(answer)})
	return answer, nil
}

// FetchDocument returns a newer document and counts it.
func (f *fleet) FetchDocument(_ context.Context, address string, above teaseltack.Generation) (*operatorv1.Document, error) {
	n, err := f.find(address)
	if err != nil {
		return nil, err
	}
	document := n.holder.Document()
	if document.GetGeneration() <= uint64(above) {
		document = nil
	}
	f.count(&peerv1.FetchDocumentRequest{AboveGeneration: uint64(above)}, &peerv1.FetchDocumentResponse{Document: document})
	return document, nil
}

// store calls the stand-in platform without a network.
type store struct {
	platform *fakekv.Store
}

// Get implements teaseltack.KeyValue.
func (s store) Get(ctx context.Context, key string) (teaseltack.KVEntry, error) {
	r, err := s.platform.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision}, nil
}

// Swap implements teaseltack.KeyValue.
func (s store) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (teaseltack.KVEntry, error) {
	r, err := s.platform.Swap(ctx, connect.NewRequest(&platformv1.SwapRequest{Key: key, Value: value, ExpectedRevision: expected, LeaseMs: lease.Milliseconds()}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision, Swapped: r.Msg.Swapped}, nil
}

// Watch implements teaseltack.KeyValue.
func (s store) Watch(ctx context.Context, key string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	r, err := s.platform.Watch(ctx, connect.NewRequest(&platformv1.WatchRequest{Key: key, KnownRevision: known, WaitMs: wait.Milliseconds()}))
	if err != nil {
		return teaseltack.KVEntry{}, err
	}
	if !r.Msg.Changed {
		return teaseltack.KVEntry{Revision: known}, nil
	}
	return teaseltack.KVEntry{Value: r.Msg.Value, Revision: r.Msg.Revision}, nil
}
