package side_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/platform/fake"
)

// BenchmarkPath measures concurrent requests that pass an entry and the home of
// another host; the backend server answers at once.
func BenchmarkPath(b *testing.B) {
	t := &testing.T{}
	tb := newTestbed(t)
	tb.configure(read)
	entryHost := tb.add("till", fake.ServerConfig{})
	tb.add("orders", fake.ServerConfig{Slots: 64})
	tb.waitFor("a rule for orders", func() bool { return tb.serves(entryHost, "/read/x") })
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", entryHost.side.Addresses().Outer)
		assert.NilError(b, err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for pb.Next() {
			_, _ = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Teaseltack-Attempt-Id: a%d\r\nX-Teaseltack-Deadline-Ms: 5000\r\n\r\n", tb.numbers.Add(1))
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.StopTimer()
	tb.close()
}
