// Package dial is the client side of the protocol between daemons.
package dial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"teaseltack"
	"teaseltack/core/usage"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/auth"
	"teaseltack/io/wire"
)

const (
	// pingAfter is the time without received data after which a ping is sent.
	pingAfter = 2 * time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection,
	// so that the next call dials a new one.
	pingTimeout = time.Second
	dialTimeout = time.Second
	idleTimeout = 10 * time.Second
)

// Config configures a client.
type Config struct {
	Timers teaseltack.Timers
	Key    auth.Key
	// MaxMessageBytes bounds one answer.
	MaxMessageBytes int
}

// Client calls other daemons. It keeps one client per address and is safe for
// concurrent use.
type Client struct {
	cfg     Config
	http    *http.Client
	codec   wire.Codec
	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient
}

var (
	_ teaseltack.HomeClient = (*Client)(nil)
	_ teaseltack.PeerClient = (*Client)(nil)
)

// New returns a client without connections.
func New(cfg Config) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{
		cfg:     cfg,
		http:    &http.Client{Transport: cfg.Key.Transport(transport)},
		clients: map[string]peerv1connect.PeerServiceClient{},
	}
}

func (c *Client) clientFor(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = peerv1connect.NewPeerServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(c.cfg.MaxMessageBytes))
		c.clients[address] = client
	}
	return client
}

// Forward sends a call to its home and returns the answer. Its error is a
// *Refusal.
func (c *Client) Forward(ctx context.Context, to teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	request := c.codec.CallOut(to.Host, call, c.cfg.Timers.Now())
	response, err := c.clientFor(to.PeerAddress).Forward(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, refusalOf(ctx, to, err)
	}
	return c.codec.AnswerIn(response.Msg), nil
}

// refusalOf converts the error of a call without an answer. The verdict is NotRun if
// dialling failed, or if the daemon rejected the call before running it, and
// MayHaveRun otherwise.
func refusalOf(ctx context.Context, to teaseltack.Record, err error) *teaseltack.Refusal {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return teaseltack.Refuse(teaseltack.ReasonConnection, "connecting to host %s: %v", to.Host, err)
	}
	if ctx.Err() != nil {
		return teaseltack.Uncertain(teaseltack.ReasonLifetime, "no answer from host %s before the deadline passed or the caller disconnected", to.Host)
	}
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted {
		refusal := teaseltack.Refuse(teaseltack.ReasonOverload, "host %s has no memory for the call: %v", to.Host, err)
		refusal.RetryAfter = usage.RetryAfter
		return refusal
	}
	if rejected(err) {
		return teaseltack.Refuse(teaseltack.ReasonBadRequest, "host %s refused the call: %v", to.Host, err)
	}
	return teaseltack.Uncertain(teaseltack.ReasonConnection, "the call to host %s failed before its answer was complete: %v", to.Host, err)
}

// rejected reports whether the daemon rejected the call before running it. The client
// sets InvalidArgument also for an answer that it cannot decode; such an error did not
// come from the daemon.
func rejected(err error) bool {
	code := connect.CodeOf(err)
	return connect.IsWireError(err) && (code == connect.CodeUnauthenticated || code == connect.CodeInvalidArgument)
}

// IssueTickets requests tickets from a home.
func (c *Client) IssueTickets(ctx context.Context, to teaseltack.Record, target teaseltack.Target, count int) ([]teaseltack.Ticket, error) {
	response, err := c.clientFor(to.PeerAddress).IssueTickets(ctx, connect.NewRequest(&peerv1.IssueTicketsRequest{
		Service: string(target.Service), Method: string(target.Method), Count: uint32(count), ToHost: string(to.Host),
	}))
	if err != nil {
		return nil, fmt.Errorf("requesting tickets from host %s: %w", to.Host, err)
	}
	if response.Msg.Reason != "" {
		return nil, teaseltack.Refuse(teaseltack.Reason(response.Msg.Reason), "host %s issued no tickets", to.Host)
	}
	tickets := make([]teaseltack.Ticket, len(response.Msg.Tickets))
	for i, t := range response.Msg.Tickets {
		tickets[i] = teaseltack.Ticket(t)
	}
	return tickets, nil
}

// Exchange sends a control message and returns the peer's reply.
func (c *Client) Exchange(ctx context.Context, address string, m teaseltack.Exchange) (teaseltack.Exchange, error) {
	response, err := c.clientFor(address).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{
		FromHost:    string(m.From),
		ToHost:      string(m.To),
		FromAddress: m.FromAddress,
		Digest:      m.Digest,
		Generation:  uint64(m.Generation),
		FreshAgeMs:  m.FreshAge.Milliseconds(),
		Changed:     c.codec.RecordsOut(m.Changed),
	}))
	if err != nil {
		return teaseltack.Exchange{}, fmt.Errorf("exchanging control messages with %s: %w", address, err)
	}
	return teaseltack.Exchange{
		Digest:     response.Msg.Digest,
		Generation: teaseltack.Generation(response.Msg.Generation),
		FreshAge:   time.Duration(response.Msg.FreshAgeMs) * time.Millisecond,
		Buckets:    response.Msg.Buckets,
		Changed:    c.codec.RecordsIn(response.Msg.Changed),
	}, nil
}

// Pull sends records to a peer and returns the peer's records of the buckets.
func (c *Client) Pull(ctx context.Context, address string, buckets []uint32, records []teaseltack.Record) ([]teaseltack.Record, error) {
	response, err := c.clientFor(address).Pull(ctx, connect.NewRequest(&peerv1.PullRequest{
		Buckets: buckets, Records: c.codec.RecordsOut(records),
	}))
	if err != nil {
		return nil, fmt.Errorf("pulling records from %s: %w", address, err)
	}
	return c.codec.RecordsIn(response.Msg.Records), nil
}

// FetchDocument returns the peer's document, or nil if its generation is not above
// the given one.
func (c *Client) FetchDocument(ctx context.Context, address string, above teaseltack.Generation) (*operatorv1.Document, error) {
	response, err := c.clientFor(address).FetchDocument(ctx, connect.NewRequest(&peerv1.FetchDocumentRequest{AboveGeneration: uint64(above)}))
	if err != nil {
		return nil, fmt.Errorf("fetching the document from %s: %w", address, err)
	}
	return response.Msg.Document, nil
}
