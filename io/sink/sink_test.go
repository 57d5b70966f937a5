package sink_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/io/sink"
)

// TestAFullPipeNeverDelaysTheWriter guards against logging goroutines that block
// because nobody reads the output.
func TestAFullPipeNeverDelaysTheWriter(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer func() {
		_ = reader.Close()
		_ = writer.Close()
	}()
	s := sink.New(sink.Config{Out: writer, MaxBytes: 64 << 10})
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const lines = 10_000
	written := make(chan struct{})
	go func() {
		for range lines {
			_, _ = s.Write(line)
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocks on the full pipe")
	}
	assert.Assert(t, s.Dropped() > 0)
}

// TestQueuedLinesAreWrittenAndDropsAreTold guards against losing queued lines at
// Close, and against dropping lines without a line that reports their number.
func TestQueuedLinesAreWrittenAndDropsAreTold(t *testing.T) {
	reader, writer := io.Pipe()
	s := sink.New(sink.Config{Out: writer, MaxBytes: 100})
	var out bytes.Buffer
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(&out, reader)
		close(done)
	}()
	_, _ = s.Write([]byte("kept\n"))
	_, _ = s.Write(bytes.Repeat([]byte("y"), 200))
	s.Close(20 * time.Second)
	_ = writer.Close()
	<-done
	assert.Equal(t, out.String(), "kept\nlog lines dropped: since-start=1\n")
}
