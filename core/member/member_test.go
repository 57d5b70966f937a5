package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/member"
	"teaseltack/io/clock"
)

// inBubble hides *testing.T from rapid, which would call T.Deadline; a synctest
// bubble does not allow that.
type inBubble struct{ *testing.T }

func newTable(host teaseltack.HostID) *member.Table {
	return member.New(member.Config{Timers: clock.Clock{}, Own: teaseltack.Record{Host: host, Version: 1, DataCentre: "a"}})
}

func drawRecords(r *rapid.T, label string) []teaseltack.Record {
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) teaseltack.Record {
		return teaseltack.Record{
			Host:        teaseltack.HostID(fmt.Sprintf("h%d", rapid.IntRange(0, 4).Draw(r, "host"))),
			Incarnation: teaseltack.Incarnation(rapid.IntRange(1, 3).Draw(r, "incarnation")),
			Version:     uint64(rapid.IntRange(1, 4).Draw(r, "version")),
			State:       teaseltack.LifeState(rapid.IntRange(0, 1).Draw(r, "state")),
			Serving:     teaseltack.Serving(rapid.IntRange(0, 2).Draw(r, "serving")),
			Generation:  teaseltack.Generation(rapid.IntRange(0, 2).Draw(r, "generation")),
		}
	}), 0, 12).Draw(r, label)
}

// Guards against daemons that keep different records for good because their digests are
// equal.
func TestEqualDigestsMeanThatAMergeChangesNothing(t *testing.T) {
	text := rapid.SampledFrom([]string{"", "x", "y"})
	number := rapid.IntRange(0, 2)
	record := rapid.Custom(func(t *rapid.T) teaseltack.Record {
		return teaseltack.Record{
			Host: "h", Incarnation: teaseltack.Incarnation(number.Draw(t, "incarnation")), Version: uint64(number.Draw(t, "version")),
			DataCentre: teaseltack.DataCentre(text.Draw(t, "data centre")), Region: teaseltack.Region(text.Draw(t, "region")),
			PeerAddress: text.Draw(t, "address"), Service: teaseltack.Service(text.Draw(t, "service")),
			Slots: number.Draw(t, "slots"), Connections: number.Draw(t, "connections"),
			Serving: teaseltack.Serving(number.Draw(t, "serving")), Generation: teaseltack.Generation(number.Draw(t, "generation")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		one := record.Draw(t, "one")
		other := one
		changed := record.Draw(t, "changed")
		switch rapid.IntRange(0, 9).Draw(t, "field") {
		case 0:
			other.Incarnation = changed.Incarnation
		case 1:
			other.Version = changed.Version
		case 2:
			other.DataCentre = changed.DataCentre
		case 3:
			other.Region = changed.Region
		case 4:
			other.PeerAddress = changed.PeerAddress
		case 5:
			other.Service = changed.Service
		case 6:
			other.Slots = changed.Slots
		case 7:
			other.Connections = changed.Connections
		case 8:
			other.Serving = changed.Serving
		case 9:
			other.Generation = changed.Generation
		}
		a, b := newTable("own"), newTable("own")
		a.Merge([]teaseltack.Record{one})
		b.Merge([]teaseltack.Record{other})
		digestA, _ := a.Digest()
		digestB, _ := b.Digest()
		assert.Equal(t, digestA == digestB, member.Compare(one, other) == 0)
	})
}

// If the result of a merge depended on the order or repetition of the records, daemons
// would keep different memberships.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			a, b, c := drawRecords(r, "a"), drawRecords(r, "b"), drawRecords(r, "c")
			orders := [][][]teaseltack.Record{{a, b, c}, {c, b, a}, {b, a, c, a, b, c}}
			var first []teaseltack.Record
			var firstDigest uint64
			for i, order := range orders {
				table := newTable("own")
				for _, records := range order {
					table.Merge(records)
				}
				digest, _ := table.Digest()
				if i == 0 {
					first, firstDigest = table.Records(), digest
					continue
				}
				assert.DeepEqual(r, table.Records(), first)
				assert.Equal(r, digest, firstDigest)
			}
		})
	})
}

// A running daemon that another one suspects must return to alive everywhere once it
// receives the suspicion.
func TestNewsOfTheOwnHostIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, observer := newTable("h1"), newTable("h2")
		observer.Merge(owner.Records())
		observer.Suspect("h1")
		owner.Merge(observer.Records())
		observer.Merge(owner.Records())
		record, ok := observer.Find("h1")
		assert.Assert(t, ok)
		assert.Equal(t, record.State, teaseltack.Alive)
	})
}

// A dead daemon of the own data centre must not stay suspect forever. A daemon of another
// data centre must stay suspect, since it may only be unreachable from here.
func TestUnrefutedSuspicionBecomesDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer := newTable("h2")
		observer.Merge([]teaseltack.Record{
			{Host: "h1", Version: 1, DataCentre: "a"},
			{Host: "far", Version: 1, DataCentre: "b", State: teaseltack.Suspect},
		})
		observer.Suspect("h1")
		time.Sleep(5 * time.Second)
		observer.Tick()
		near, _ := observer.Find("h1")
		far, _ := observer.Find("far")
		assert.Equal(t, near.State, teaseltack.Dead)
		assert.Equal(t, far.State, teaseltack.Suspect, "a daemon was declared dead from another data centre")
	})
}

// A restarted daemon begins with a low version, so the record of its earlier incarnation
// would win until the daemon raises its version above it.
func TestRestartedDaemonBeatsItsEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer := newTable("h2")
		observer.Merge([]teaseltack.Record{{Host: "h1", Version: 90, Incarnation: 5, State: teaseltack.Alive}})
		restarted := member.New(member.Config{Timers: clock.Clock{}, Own: teaseltack.Record{Host: "h1", Version: 3, Incarnation: 1}})
		restarted.Merge(observer.Records())
		observer.Merge(restarted.Records())
		record, _ := observer.Find("h1")
		assert.Equal(t, record.Incarnation, teaseltack.Incarnation(1))
	})
}
