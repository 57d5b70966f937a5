package contacts_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/contacts"
)

func drawRecords(t *rapid.T) []teaseltack.Record {
	records := make([]teaseltack.Record, rapid.IntRange(0, 60).Draw(t, "hosts"))
	for i := range records {
		records[i] = teaseltack.Record{
			Host:       teaseltack.HostID(fmt.Sprintf("host-%d", i)),
			DataCentre: teaseltack.DataCentre(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")),
			State:      rapid.SampledFrom([]teaseltack.LifeState{teaseltack.Alive, teaseltack.Suspect, teaseltack.Dead, teaseltack.Left}).Draw(t, "state"),
		}
	}
	return records
}

func TestEachDataCentreWithAHostHasContacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, count := drawRecords(t), rapid.IntRange(1, 4).Draw(t, "count")
		const self = "host-0"
		want := map[teaseltack.DataCentre]int{}
		for _, r := range records {
			if r.Host != self && r.State < teaseltack.Dead {
				want[r.DataCentre] = min(want[r.DataCentre]+1, count)
			}
		}
		got := map[teaseltack.DataCentre]int{}
		for _, ofDataCentre := range contacts.Choose(self, records, count) {
			for _, r := range ofDataCentre {
				assert.Assert(t, r.Host != self && r.State < teaseltack.Dead, "%v was chosen", r)
				assert.Assert(t, slices.Contains(records, r))
				got[r.DataCentre]++
			}
		}
		assert.DeepEqual(t, got, want)
	})
}

func TestNoHostIsTheContactOfMostOthers(t *testing.T) {
	var records []teaseltack.Record
	for i := range 300 {
		records = append(records, teaseltack.Record{Host: teaseltack.HostID(fmt.Sprintf("host-%d", i)), DataCentre: "a"})
	}
	chosenBy := map[teaseltack.HostID]int{}
	for _, r := range records {
		for _, contact := range contacts.Choose(r.Host, records, 2)[0] {
			chosenBy[contact.Host]++
		}
	}
	for host, count := range chosenBy {
		assert.Assert(t, count < 20, "%d of %d hosts chose %s, 2 are the mean", count, len(records), host)
	}
}

// Guards against a small data centre whose hosts are the contacts of all others.
func TestASmallDataCentreIsNotChosenByAll(t *testing.T) {
	for _, small := range []int{1, 2, 5} {
		var records []teaseltack.Record
		for i := range 1200 {
			records = append(records, teaseltack.Record{Host: teaseltack.HostID(fmt.Sprintf("host-%d", i)), DataCentre: teaseltack.DataCentre(fmt.Sprintf("large-%d", i%4))})
		}
		for i := range small {
			records = append(records, teaseltack.Record{Host: teaseltack.HostID(fmt.Sprintf("small-%d", i)), DataCentre: "small"})
		}
		chosenBy, choosing := map[teaseltack.HostID]int{}, map[teaseltack.DataCentre]int{}
		for _, r := range records {
			for _, ofDataCentre := range contacts.Choose(r.Host, records, 2) {
				for _, contact := range ofDataCentre {
					chosenBy[contact.Host]++
				}
				if ofDataCentre[0].DataCentre == "small" {
					choosing[r.DataCentre]++
				}
			}
		}
		for i := range small {
			host := teaseltack.HostID(fmt.Sprintf("small-%d", i))
			assert.Assert(t, chosenBy[host] <= 4*40, "%s is the contact of %d hosts", host, chosenBy[host])
		}
		for i := range 4 {
			name := teaseltack.DataCentre(fmt.Sprintf("large-%d", i))
			assert.Assert(t, choosing[name] >= 16, "%d hosts of %s have contacts in the small data centre of %d", choosing[name], name, small)
		}
	}
}
