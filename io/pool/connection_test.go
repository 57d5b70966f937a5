package pool_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/io/clock"
	"teaseltack/io/pool"
)

// BenchmarkConnections compares a server that names the request in its answers, whose
// connections are used again, with one that does not.
func BenchmarkConnections(b *testing.B) {
	for name, match := range map[string]pool.Match{"used-again": pool.Own, "one-each": pool.Unnamed} {
		b.Run(name, func(b *testing.B) {
			s := newServer(b, func(_ int64, r *http.Request, conn net.Conn) bool {
				_, err := conn.Write([]byte(completeAnswer(r.Header.Get(idHeader), "ok")))
				return err == nil
			})
			p := pool.New(pool.Config{Timers: clock.Clock{}, MaxAnswerBytes: 1000})
			p.SetAddress(s.listener.Addr().String())
			r := request("a", false)
			r.Check = func(int, http.Header) pool.Match { return match }
			for b.Loop() {
				_, err := p.Do(b.Context(), r)
				assert.NilError(b, err)
			}
		})
	}
}
