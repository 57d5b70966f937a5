// Package keyval is the client of the platform's key-value service.
package keyval

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"teaseltack"
	platformv1 "teaseltack/gen/teaseltack/platform/v1"
	"teaseltack/gen/teaseltack/platform/v1/platformv1connect"
)

const (
	// pingAfter is the time without received data after which a ping is sent.
	pingAfter = time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection.
	pingTimeout = time.Second
	// maxMessageBytes bounds one answer; a value has up to a megabyte.
	maxMessageBytes = 4 << 20
)

// Config configures a client.
type Config struct {
	// Address is the platform's IP:port.
	Address string
	// OnCall is called after each call with its kind and error, on the goroutine of
	// the caller; it may be nil.
	OnCall func(kind string, err error)
}

// Client calls the platform over one HTTP/2 connection, which it checks by pings.
type Client struct {
	client platformv1connect.KeyValueServiceClient
	onCall func(string, error)
}

var _ teaseltack.KeyValue = (*Client)(nil)

// New returns a client.
func New(cfg Config) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	onCall := cfg.OnCall
	if onCall == nil {
		onCall = func(string, error) {}
	}
	return &Client{
		client: platformv1connect.NewKeyValueServiceClient(&http.Client{Transport: transport}, "http://"+cfg.Address, connect.WithReadMaxBytes(maxMessageBytes)),
		onCall: onCall,
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (teaseltack.KVEntry, error) {
	response, err := c.client.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	c.onCall("get", err)
	if err != nil {
		return teaseltack.KVEntry{}, fmt.Errorf("platform get: %w", err)
	}
	return teaseltack.KVEntry{Value: response.Msg.Value, Revision: response.Msg.Revision}, nil
}

// Swap writes a key if its revision is the expected one. It returns the entry that
// is stored afterwards.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (teaseltack.KVEntry, error) {
	response, err := c.client.Swap(ctx, connect.NewRequest(&platformv1.SwapRequest{
		Key: key, Value: value, ExpectedRevision: expected, LeaseMs: lease.Milliseconds(),
	}))
	c.onCall("swap", err)
	if err != nil {
		return teaseltack.KVEntry{}, fmt.Errorf("platform swap: %w", err)
	}
	return teaseltack.KVEntry{Value: response.Msg.Value, Revision: response.Msg.Revision, Swapped: response.Msg.Swapped}, nil
}

// Watch waits until the key's revision differs from the known one, at most for
// wait. Without a change it returns the known revision and no value.
func (c *Client) Watch(ctx context.Context, key string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	response, err := c.client.Watch(ctx, connect.NewRequest(&platformv1.WatchRequest{
		Key: key, KnownRevision: known, WaitMs: wait.Milliseconds(),
	}))
	c.onCall("watch", err)
	if err != nil {
		return teaseltack.KVEntry{}, fmt.Errorf("platform watch: %w", err)
	}
	if !response.Msg.Changed {
		return teaseltack.KVEntry{Revision: known}, nil
	}
	return teaseltack.KVEntry{Value: response.Msg.Value, Revision: response.Msg.Revision}, nil
}
