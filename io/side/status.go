package side

import (
	"cmp"
	"context"
	"slices"

	"connectrpc.com/connect"

	"teaseltack"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
)

// operatorService serves the operatorService API at the metrics listener. On the platform,
// operators change the configuration in the store, so only GetStatus is implemented.
type operatorService struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	side *Sidecar
}

// GetStatus returns the state of this daemon and of the hosts that it knows.
func (o *operatorService) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	s := o.side
	generation, _ := s.follower.Current()
	load := s.gate.Summary()
	status := &operatorv1.GetStatusResponse{
		Host: s.settings.Host, Generation: uint64(generation), PlatformReachable: !s.storeUnreachable.Load(),
		InFlight: uint32(load.InFlight), Limit: uint32(load.Limit), Level: uint32(load.Level),
	}
	if since := s.configuredAt.Load(); since != nil {
		status.GenerationAgeS = s.timers.Now().Sub(*since).Seconds()
	}
	records := s.roster.Records()
	slices.SortFunc(records, func(a, b teaseltack.Record) int { return cmp.Compare(a.Host, b.Host) })
	for _, r := range records {
		status.Hosts = append(status.Hosts, s.hostStatus(r))
	}
	status.HostsKnown = uint32(len(records))
	for _, name := range s.unreachableDataCentres() {
		status.DataCentresUnreachable = append(status.DataCentresUnreachable, string(name))
	}
	for target, left := range s.entry.Budgets() {
		status.RetryBudgets = append(status.RetryBudgets, &operatorv1.RetryBudget{Service: string(target.Service), Method: string(target.Method), Left: left})
	}
	slices.SortFunc(status.RetryBudgets, func(a, b *operatorv1.RetryBudget) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Method, b.Method))
	})
	return connect.NewResponse(status), nil
}

func (s *Sidecar) hostStatus(r teaseltack.Record) *operatorv1.HostStatus {
	status := s.picker.Status(r.Host)
	return &operatorv1.HostStatus{
		Host: string(r.Host), DataCentre: string(r.DataCentre), Service: string(r.Service),
		State: r.State.String(), Serving: r.Serving.String(), Slots: uint32(r.Slots),
		Ejected: status.Ejected, OutOfReach: status.Unreachable, InFlight: uint32(status.Load.InFlight), Limit: uint32(status.Load.Limit),
	}
}

// ejectedHomes returns the number of homes that this entry ejected.
func (s *Sidecar) ejectedHomes() int {
	count := 0
	for _, r := range s.roster.Records() {
		if s.picker.Status(r.Host).Ejected {
			count++
		}
	}
	return count
}

// unreachableDataCentres returns the other data centres of which no host is connected
// and two or more hosts are unreachable.
func (s *Sidecar) unreachableDataCentres() []teaseltack.DataCentre {
	const minUnreachable = 2
	unreachable, connected := map[teaseltack.DataCentre]int{}, map[teaseltack.DataCentre]bool{}
	for _, r := range s.roster.Records() {
		switch {
		case s.picker.Status(r.Host).Unreachable:
			unreachable[r.DataCentre]++
		case r.Host == teaseltack.HostID(s.settings.Host) || s.links.Connected(r.Host):
			connected[r.DataCentre] = true
		}
	}
	var names []teaseltack.DataCentre
	for name, count := range unreachable {
		if count >= minUnreachable && !connected[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
