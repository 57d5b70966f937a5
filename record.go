package teaseltack

// LifeState is the state of a daemon in the membership.
type LifeState uint8

// The life states; at equal versions the higher one wins.
const (
	Alive LifeState = iota
	Suspect
	Dead
	Left
)

var lifeNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s LifeState) String() string {
	if int(s) >= len(lifeNames) {
		return "unknown"
	}
	return lifeNames[s]
}

// Serving is the state of the backend server on a daemon's host.
type Serving uint8

// The serving states.
const (
	Absent Serving = iota
	Ready
	Leaving
)

var servingNames = [...]string{"absent", "ready", "leaving"}

// String returns the state's name.
func (s Serving) String() string {
	if int(s) >= len(servingNames) {
		return "unknown"
	}
	return servingNames[s]
}

// Record is the membership entry of one daemon and its backend server. Only
// the owner raises the version; other daemons may only raise the state.
type Record struct {
	Host        HostID
	Incarnation Incarnation
	Version     uint64
	DataCentre  DataCentre
	Region      Region
	PeerAddress string
	Service     Service
	Slots       int
	Connections int
	State       LifeState
	Serving     Serving
	// Generation is the configuration in force when the record was written.
	Generation Generation
	// TombstonesEra is the era in which the platform's store held the tombstones of all
	// backend servers that left this host, unless TombstonesUnknown is set.
	TombstonesEra     StoreEra
	TombstonesUnknown bool
}
