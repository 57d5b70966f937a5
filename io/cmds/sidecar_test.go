package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack/io/cmds"
)

func run(arguments ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = cmds.Table{}.Run(arguments, &out, &errOut)
	return code, out.String(), errOut.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const validSidecar = `{"host": "h", "data-centre": "d", "ip": "127.0.0.1", "service": "s", "outer-address": "127.0.0.1:1",
"ready-address": "127.0.0.1:2", "announce-address": "127.0.0.1:3", "server-address": "127.0.0.1:4", "peer-port": 5, "metrics-port": 6,
"platform-address": "127.0.0.1:7", "memory-mb": 200, "heartbeat-s": 1.5, "grace-s": 6, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48}`

// Guards against bad sidecar settings that are accepted, reported one at a time, or
// reported with another exit code than 2.
func TestSidecarSettingsAreChecked(t *testing.T) {
	code, out, _ := run("check", "--kind", "sidecar", write(t, validSidecar))
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.HasSuffix(out, ": good\n"), out)
	bad := strings.NewReplacer(`"memory-mb": 200`, `"memory-mb": 2`, `"127.0.0.1:4"`, `"nowhere"`, `"host": "h"`, `"host": ""`).Replace(validSidecar)
	code, _, fault := run("check", "--kind", "sidecar", write(t, bad))
	assert.Equal(t, code, 2)
	for _, want := range []string{"memory-mb is 2, allowed is 16", `server-address is "nowhere", allowed is IP:PORT`, "host is empty"} {
		assert.Assert(t, strings.Contains(fault, want), fault)
	}
}

// Guards against a bad configuration of the users' platform that is accepted or
// reported without the name of the field.
func TestAConfigurationIsChecked(t *testing.T) {
	code, _, _ := run("check", "--kind", "configuration", write(t, `{"version":"1"}`))
	assert.Equal(t, code, 0)
	code, _, fault := run("check", "--kind", "configuration", write(t, `{"version":"z"}`))
	assert.Equal(t, code, 2)
	assert.Assert(t, strings.Contains(fault, "version is"), fault)
}

const logOfTwoHosts = `2026-12-04T10:00:00.200Z [INFO]  teaseltack: answered: id=a1 part=entry at=h1 target=s/m home=h2 status=200 verdict=ran reason= detail="" attempt=0 left-ms=900 took-ms=100 work-ms=90 waited-ms=3 in-flight=1 limit=4 level=0 level-below=0 class=normal nested=false generation=7
2026-12-04T10:00:00.100Z [INFO]  teaseltack: ran: id=a1 part=home at=h2 target=s/m home=h2 status=200 verdict=ran reason= detail="a b" attempt=0 left-ms=910 took-ms=95 work-ms=90 waited-ms=3 in-flight=1 limit=4 level=0 level-below=0 class=normal nested=false generation=7
2026-12-04T10:00:00.100Z [INFO]  teaseltack: ran: id=a12 part=home at=h2 target=s/m
`

// Guards against lines printed in the order of the log, lines of a request whose id
// only starts alike (a12), lines of a change with the same id, and quoted values that
// are cut at a space.
func TestExplainPrintsARequestInOrderOfTime(t *testing.T) {
	code, out, _ := run("explain", "a1", write(t, logOfTwoHosts))
	assert.Equal(t, code, 0)
	home, entry := strings.Index(out, "home ran at h2"), strings.Index(out, "entry answered at h1")
	assert.Assert(t, home >= 0 && entry > home, out)
	input, err := os.Open(write(t, logOfTwoHosts))
	assert.NilError(t, err)
	defer func(stdin *os.File) { os.Stdin = stdin }(os.Stdin)
	os.Stdin = input
	_, sorted, _ := run("explain", "a1")
	assert.Equal(t, sorted, out, "the standard input is not put in order")
	code, out, _ = run("explain", "a1", "--json", write(t, logOfTwoHosts))
	assert.Equal(t, code, 0)
	assert.Equal(t, strings.Count(out, "\n"), 2)
	assert.Assert(t, strings.Contains(out, `"detail":"a b"`), out)
	other := strings.ReplaceAll(logOfTwoHosts, " id=a", " change-id=a")
	code, _, _ = run("explain", "a1", write(t, other))
	assert.Equal(t, code, 1, "a line of change a1 counts as one of request a1")
	code, _, fault := run("explain", "none", write(t, logOfTwoHosts))
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(fault, "no line names request none"), fault)
}
