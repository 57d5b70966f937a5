package answers

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var stops = flag.Int("stops", 4, "planned stops per kind of daemon")

const (
	busyCallers = 24
	// rareCallers is the number of callers that send a request on a connection that
	// has been idle since before the stop.
	rareCallers = 8
	// beforeStop is how long callers send requests before the stop.
	beforeStop = 300 * time.Millisecond
	// rareWithin bounds the time after the stop in which a rare caller sends, below
	// the time that a stopping daemon goes on serving.
	rareWithin = 1200 * time.Millisecond
)

// caller is a caller on one persistent connection.
type caller struct {
	path   *path
	conn   net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, p *path) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(strings.TrimSuffix(p.url, "/shop/look-up"), "http://"))
	assert.NilError(t, err)
	return &caller{path: p, conn: conn, reader: bufio.NewReader(conn)}
}

// call sends one request and reports whether its answer keeps the connection open.
func (c *caller) call() (keepOpen bool, err error) {
	request := c.path.request(fmt.Sprint(numbers.Add(1)))
	if err := request.Write(c.conn); err != nil {
		return false, fmt.Errorf("sending: %w", err)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return false, fmt.Errorf("receiving: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, fmt.Errorf("receiving the body: %w", err)
	}
	return !response.Close, nil
}

// Guards against requests that get the end of their connection instead of an answer
// because their daemon was asked to stop. Callers use their connections until an answer
// tells them to close.
func TestAPlannedStopAnswersEveryRequest(t *testing.T) {
	for name, start := range bothKinds {
		for i := range *stops {
			t.Run(fmt.Sprintf("%s %d", name, i), func(t *testing.T) {
				t.Parallel()
				checkStop(t, start(t))
			})
		}
	}
}

func checkStop(t *testing.T, p *path) {
	t.Helper()
	var group sync.WaitGroup
	stopped := make(chan struct{})
	for range busyCallers {
		c := dialCaller(t, p)
		group.Go(func() {
			defer func() { _ = c.conn.Close() }()
			for keepOpen := true; keepOpen; time.Sleep(rand.N(5 * time.Millisecond)) {
				var err error
				if keepOpen, err = c.call(); err != nil {
					assert.Check(t, err)
					return
				}
			}
		})
	}
	for range rareCallers {
		c := dialCaller(t, p)
		group.Go(func() {
			defer func() { _ = c.conn.Close() }()
			_, err := c.call()
			assert.Check(t, err)
			<-stopped
			time.Sleep(rand.N(rareWithin))
			_, err = c.call()
			assert.Check(t, err)
		})
	}
	time.Sleep(beforeStop)
	close(stopped)
	assert.NilError(t, p.stop())
	group.Wait()
}
