package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/io/config"
)

const validSettings = `{
	// A comment.
	"host": "till-1", "data-centre": "arusha-a",
	"outer-address": "127.0.0.1:7001", "inner-address": "127.0.0.1:7002",
	"peer-address": "127.0.0.1:7003", "operator-address": "127.0.0.1:7004",
}`

// Guards against comments and trailing commas that are rejected, and against
// defaults that are lost when the file leaves a setting out.
func TestGoodSettingsWithComments(t *testing.T) {
	settings, err := config.Parse("f", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, settings.Host, "till-1")
	assert.Equal(t, settings.MaxWaitMs, int64(100))
}

// Guards against a default that holds less than the largest body that is allowed.
func TestMemoryOfRequestsFollowsTheLargestBody(t *testing.T) {
	for size, want := range map[string]int64{"1024": 32 << 20, "8388608": 6 * 9 << 20, "67108864": 6 * 65 << 20} {
		settings, err := config.Parse("f", []byte(strings.Replace(validSettings, `"host"`, `"max-body-bytes": `+size+`, "host"`, 1)))
		assert.NilError(t, err)
		assert.Equal(t, settings.MaxRequestBytes, want)
	}
}

// Guards against sample settings that no longer match the checks.
func TestSamplesAreGood(t *testing.T) {
	paths, err := filepath.Glob("../../samples/*.hujson")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 2)
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "policies") {
			continue
		}
		_, err := config.Load(path)
		assert.NilError(t, err)
	}
}

// Guards against errors from which an operator cannot tell the line, the value or
// the allowed values.
func TestFaultsNamePlaceValueAndWhatIsAllowed(t *testing.T) {
	for name, test := range map[string]struct{ from, to, want string }{
		"unknown key":        {`"host": "till-1"`, `"hots": "x", "host": "till-1"`, `f:3:2: hots is an unknown key, allowed are host, data-centre`},
		"wrong type":         {`"host": "till-1"`, `"host": 7`, `f:3:10: host is 7, allowed is a string`},
		"bad name":           {`"till-1"`, `"Till 1"`, `f:3:10: host is "Till 1", allowed are 1 to 63 of a-z, 0-9 and hyphen`},
		"host name":          {`127.0.0.1:7001`, `localhost:7001`, `outer-address is "localhost:7001", allowed is IP:PORT`},
		"same address":       {`127.0.0.1:7002`, `127.0.0.1:7001`, `inner-address is "127.0.0.1:7001", allowed is an address that outer-address does not use`},
		"out of range":       {`"host": "till-1"`, `"max-wait-ms": 0, "host": "till-1"`, `f:3:17: max-wait-ms is 0, allowed is 1 to 10000`},
		"twice":              {`"host": "till-1"`, `"host": "till-1", "host": "b"`, `host is given twice`},
		"short lifetime":     {`"host": "till-1"`, `"default-lifetime-ms": 50, "host": "till-1"`, `default-lifetime-ms is 50, allowed is more than max-wait-ms`},
		"short key lifetime": {`"host": "till-1"`, `"key-lifetime-s": 5, "host": "till-1"`, `key-lifetime-s is 5, allowed is at least ticket-lifetime-s`},
		"little memory":      {`"host": "till-1"`, `"max-request-bytes": 1048576, "host": "till-1"`, `max-request-bytes is 1048576, allowed is at least six times the sum of max-body-bytes and 1 MiB, which is 56623104`},
		"not JSON":           {`{`, `[`, `f: hujson: line 3`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("f", []byte(strings.Replace(validSettings, test.from, test.to, 1)))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against a check that stops at the first error, so that a file has to be
// corrected one error at a time.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"till-1"`, `"A"`, `"arusha-a"`, `"B"`).Replace(validSettings)
	_, err := config.Parse("f", []byte(text))
	assert.Equal(t, strings.Count(err.Error(), "\n"), 1)
}

// Guards against a missing file whose error no longer wraps os.ErrNotExist.
func TestMissingFile(t *testing.T) {
	_, err := config.Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against panics on arbitrary text, and against a result with both or
// neither of settings and error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"host": 1, "host": [], "peers": ["a", 2]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := config.Parse("f", text)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", settings, err)
		}
	})
}

// Guards against settings of a sidecar that are outside of what is allowed, whatever the
// template renders.
func FuzzParseSidecar(f *testing.F) {
	f.Add([]byte(`{"host": "h", "data-centre": "a", "service": "s", "ip": "127.0.0.1", "outer-address": "127.0.0.1:1", "ready-address": "127.0.0.1:2", "announce-address": "127.0.0.1:3",
		"server-address": "127.0.0.1:4", "platform-address": "127.0.0.1:5", "peer-port": 6, "metrics-port": 7, "memory-mb": 184, "heartbeat-s": 1, "grace-s": 6, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48}`))
	f.Add([]byte(`{"memory-mb": 1e300, "grace-s": -1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := config.ParseSidecar("f", text)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", settings, err)
		}
		if err == nil && (settings.Host == "" || settings.MemoryMB < 16 || settings.GraceS <= 0 || settings.MaxWaitMs < 1) {
			t.Fatalf("accepted %+v", settings)
		}
	})
}
