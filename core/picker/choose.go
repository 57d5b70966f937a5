package picker

import (
	"slices"
	"time"

	"teaseltack"
)

// probeCandidate returns an ejected home that has no probe in flight, or nil. The
// best tier contains such a home once its ejection has ended, and otherwise only
// if all homes are unavailable.
func probeCandidate(candidates []*home) *home {
	for _, h := range candidates {
		if !h.ejectedUntil.IsZero() && !h.probing {
			return h
		}
	}
	return nil
}

// tier ranks homes by their availability for a call; a lower tier is better.
type tier uint8

const (
	tierGood tier = iota
	// tierStopping is a home whose daemon stops and accepts calls until then.
	tierStopping
	// tierShedding is a home whose last reported admission level is above the
	// call's bucket.
	tierShedding
	// tierUnavailable is a home that is ejected, unreachable or reported CannotServe
	// within cannotServeTime.
	tierUnavailable
	tierCount
)

// candidates returns the homes of the best non-empty tier, split into those of the
// local data centre and those of others.
func (p *Picker) candidates(req Request, now time.Time) (local, remote []*home) {
	var locals, remotes [tierCount][]*home
	for _, h := range p.services[req.Service] {
		if slices.Contains(req.Tried, h.record.Host) {
			continue
		}
		t := p.tierOf(h, req, now)
		if t == tierShedding && req.AvoidShedding {
			continue
		}
		if h.proximityRank == 0 {
			locals[t] = append(locals[t], h)
		} else {
			remotes[t] = append(remotes[t], h)
		}
	}
	for t := range tierCount {
		if len(locals[t])+len(remotes[t]) > 0 {
			return locals[t], remotes[t]
		}
	}
	return nil, nil
}

func (p *Picker) tierOf(h *home, req Request, now time.Time) tier {
	switch {
	case h.blocked(now) || p.unreachableDataCentres[h.record.DataCentre] || p.unreachableHosts[h.record.Host]:
		return tierUnavailable
	case h.level(req.Method, now) > req.Bucket:
		return tierShedding
	case h.record.State == teaseltack.Left:
		return tierStopping
	}
	return tierGood
}

// choose samples two homes of the local data centre and two remote ones, and
// returns the one with the lowest expected time. Sampling prevents all entries from
// sending their calls to the same best home. A local home with capacity that meets
// the objective is preferred to a faster remote one, because traffic between data
// centres costs money.
func (p *Picker) choose(local, remote []*home, objective time.Duration, now time.Time) *home {
	if p.cfg.Uniform {
		all := slices.Concat(local, remote)
		return all[p.cfg.Rand.Uint64()%uint64(len(all))]
	}
	localSample, remoteSample := p.sample(local), p.sample(remote)
	minWork := leastWork(append(localSample, remoteSample...))
	best, bestTime := p.best(localSample, minWork, now)
	if best != nil && objective >= objectiveFactor*bestTime && best.hasCapacity(now) {
		return best
	}
	if remoteBest, t := p.best(remoteSample, minWork, now); best == nil || remoteBest != nil && t < bestTime {
		return remoteBest
	}
	return best
}

// best returns the home with the lowest expected time, or nil if homes is empty.
func (p *Picker) best(homes []*home, minWork time.Duration, now time.Time) (best *home, bestTime time.Duration) {
	for _, h := range homes {
		if t := p.expectedTime(h, minWork, now); best == nil || t < bestTime {
			best, bestTime = h, t
		}
	}
	return best, bestTime
}

// sample returns up to two distinct random homes.
func (p *Picker) sample(homes []*home) []*home {
	n := uint64(len(homes))
	if n <= 1 {
		return slices.Clone(homes)
	}
	i := p.cfg.Rand.Uint64() % n
	j := (i + 1 + p.cfg.Rand.Uint64()%(n-1)) % n
	return []*home{homes[i], homes[j]}
}

// leastWork returns the lowest known work of the homes, at least 1 ms.
func leastWork(homes []*home) time.Duration {
	least := time.Duration(0)
	for _, h := range homes {
		if h.avgWork > 0 && (least == 0 || h.avgWork < least) {
			least = h.avgWork
		}
	}
	return max(least, time.Millisecond)
}

// expectedTime estimates the time until the home answers. A home without a recent
// load report is assumed to be as fast as the fastest sampled home (minWork).
func (p *Picker) expectedTime(h *home, minWork time.Duration, now time.Time) time.Duration {
	work := h.avgWork
	inFlight, limit, reported := h.occupancy(now)
	if work == 0 || !reported {
		work = minWork
	}
	expected := work
	if inFlight >= limit {
		expected += work * time.Duration(inFlight-limit+1) / time.Duration(limit)
	}
	expected += work * time.Duration(inFlight) / time.Duration(limit) / loadDivisor
	for range h.consecutiveFailures {
		expected *= consecutiveFailurePenalty
	}
	expected += time.Duration(failureSharePenalty * h.failureShare * float64(expected))
	if h.proximityRank > 0 {
		expected += time.Duration(remotePenalty * float64(expected))
	}
	return expected + p.delay(h)
}

// delay returns the estimated network round trip to a home.
func (p *Picker) delay(h *home) time.Duration {
	if h.proximityRank == 0 {
		return 0
	}
	if measured, ok := p.delays[h.record.DataCentre]; ok {
		return measured
	}
	return delayPerRank * time.Duration(h.proximityRank)
}

// recordDelay updates the round trip estimate. A shorter measurement replaces the
// estimate at once; a longer one moves it only by 1/delayDecay.
func (p *Picker) recordDelay(h *home, delay time.Duration) {
	if delay < 0 {
		return
	}
	name := h.record.DataCentre
	previous, known := p.delays[name]
	if !known || delay < previous {
		p.delays[name] = delay
		return
	}
	p.delays[name] = previous + (delay-previous)/delayRiseDivisor
}
