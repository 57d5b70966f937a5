package roster

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnOddRecordNamesNoHost guards against an entry of another writer that is dialled
// again and again, that distorts the choice of homes or that ends the reader.
func TestAnOddRecordNamesNoHost(t *testing.T) {
	const form = `{"host":"h","incarnation":%s,"version":1,"peer-address":%q,"service":"s","slots":%s,"serving":"ready"}`
	const deep = 100_000
	for _, c := range []struct {
		name, value string
		want        bool
	}{
		{"a proper record", fmt.Sprintf(form, "1", "10.0.0.1:7620", "3"), true},
		{"a proper record, IPv6", fmt.Sprintf(form, "1", "[::1]:7620", "3"), true},
		{"port too large", fmt.Sprintf(form, "1", "10.0.0.1:65536", "3"), false},
		{"port zero", fmt.Sprintf(form, "1", "10.0.0.1:0", "3"), false},
		{"negative port", fmt.Sprintf(form, "1", "10.0.0.1:-7", "3"), false},
		{"port name", fmt.Sprintf(form, "1", "10.0.0.1:http", "3"), false},
		{"no address", fmt.Sprintf(form, "1", ":7620", "3"), false},
		{"host name", fmt.Sprintf(form, "1", "localhost:7620", "3"), false},
		{"unspecified address", fmt.Sprintf(form, "1", "0.0.0.0:7620", "3"), false},
		{"too many slots", fmt.Sprintf(form, "1", "10.0.0.1:7620", "9000000000000000000"), false},
		{"number out of range", fmt.Sprintf(form, "1e400", "10.0.0.1:7620", "3"), false},
		{"number with a fraction", fmt.Sprintf(form, "1", "10.0.0.1:7620", "3.5"), false},
		{"nested lists", strings.Repeat("[", deep) + strings.Repeat("]", deep), false},
		{"nested field", fmt.Sprintf(form, strings.Repeat(`{"a":`, deep)+"1"+strings.Repeat("}", deep), "10.0.0.1:7620", "3"), false},
		{"nested unknown field", `{"x":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `,` + fmt.Sprintf(form, "1", "10.0.0.1:7620", "3")[1:], false},
		{"no text", "\xff\xfe\x00", false},
		{"nothing", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, ok := decodeRecord("hosts/h", "hosts/", []byte(c.value))
			assert.Equal(t, ok, c.want)
		})
	}
}
