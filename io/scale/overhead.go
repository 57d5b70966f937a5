package scale

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"teaseltack"
	peerv1 "teaseltack/gen/teaseltack/peer/v1"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/clock"
	"teaseltack/io/dial"
	"teaseltack/io/httpd"
)

const (
	// packetOverhead is the size of the TCP and IP headers of the four packets of a
	// call.
	packetOverhead = 4 * 52
	overheadCalls  = 300
)

// exchangeServer answers exchanges with empty messages.
type exchangeServer struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (exchangeServer) Exchange(context.Context, *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return connect.NewResponse(&peerv1.ExchangeResponse{}), nil
}

// callOverhead measures how many bytes a control call and its answer take in
// addition to their messages, on a reused loopback connection with the real peer
// protocol.
func callOverhead(ctx context.Context) (int, error) {
	server, err := httpd.Listen(httpd.Config{Name: "peer listener", Address: "127.0.0.1:0"})
	if err != nil {
		return 0, err
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(exchangeServer{}))
	server.Handle(mux)
	go func() { _ = server.Serve() }()
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	defer func() { _ = server.Shutdown(closed) }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	var bytes atomic.Int64
	go countingRelay(listener, server.Address(), &bytes)
	client := dial.New(dial.Config{Timers: clock.Clock{}, MaxMessageBytes: 1 << 20})
	message := teaseltack.Exchange{From: "host-1", To: "host-2", FromAddress: "10.0.0.1:7003", Digest: 1 << 60, Generation: 7}
	size := proto.Size(&peerv1.ExchangeRequest{FromHost: "host-1", ToHost: "host-2", FromAddress: "10.0.0.1:7003", Digest: 1 << 60, Generation: 7})
	for range overheadCalls {
		if _, err := client.Exchange(ctx, listener.Addr().String(), message); err != nil {
			return 0, err
		}
	}
	return int(bytes.Load())/overheadCalls - size + packetOverhead, nil
}

// countingRelay forwards connections to the target and counts the bytes of both
// directions, until the listener is closed.
func countingRelay(listener net.Listener, target string, bytes *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go copyCounting(upstream, conn, bytes)
		go copyCounting(conn, upstream, bytes)
	}
}

func copyCounting(to io.WriteCloser, from io.Reader, bytes *atomic.Int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		bytes.Add(int64(n))
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
