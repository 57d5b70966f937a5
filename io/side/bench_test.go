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

// BenchmarkPath sends requests through an entry and another host's home to a
// server that answers at once, several at a time as under load.
func BenchmarkPath(b *testing.B) {
	t := &testing.T{}
	w := newWorld(t)
	w.configure(read)
	front := w.add("till", fake.ServerConfig{})
	w.add("orders", fake.ServerConfig{Slots: 64})
	w.await("the way", func() bool { return w.serves(front, "/read/x") })
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", front.side.Addresses().Outer)
		assert.NilError(b, err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for pb.Next() {
			_, _ = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Teaseltack-Attempt-Id: a%d\r\nX-Teaseltack-Deadline-Ms: 5000\r\n\r\n", w.numbers.Add(1))
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.StopTimer()
	w.close()
}
