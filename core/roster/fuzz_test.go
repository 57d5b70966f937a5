package roster

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"teaseltack"
)

// FuzzDecodeRecord reads arbitrary bytes as a host's record. A record that is accepted
// must be of the key's host, have a valid state and an address to dial, and survive being
// stored again.
func FuzzDecodeRecord(f *testing.F) {
	good, err := json.Marshal(newStoredRecord(teaseltack.Record{Host: "h", Incarnation: 1, PeerAddress: "127.0.0.1:1", Slots: 3, Serving: teaseltack.Ready}))
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte(`{"host":"h","peer-address":":","serving":"none","slots":-5,"stopping":true}`))
	f.Add([]byte(`{"host":"other","peer-address":"127.0.0.1:1"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		record, ok := decodeRecord("hosts/h", "hosts/", value)
		if !ok {
			return
		}
		if record.Host != "h" || record.Slots < 0 || record.Serving > teaseltack.Leaving || record.State != teaseltack.Alive && record.State != teaseltack.Left {
			t.Fatalf("%q gave the invalid record %+v", value, record)
		}
		stored, err := json.Marshal(newStoredRecord(record))
		assert.NilError(t, err)
		again, ok := decodeRecord("hosts/h", "hosts/", stored)
		assert.Assert(t, ok && again == record, "%q", stored)
	})
}
