package picker

import (
	"slices"
	"time"
)

// dueForProbe returns a candidate whose ejection has ended without a call since.
func dueForProbe(candidates []*home) *home {
	for _, h := range candidates {
		if !h.ejectedUntil.IsZero() && !h.probing {
			return h
		}
	}
	return nil
}

// tier orders homes by how fit they are for a call.
type tier uint8

const (
	tierGood tier = iota
	tierShedding
	tierEjected
	tierCount
)

// candidates returns the homes of the best tier that has any, those of the own
// data centre and the others.
func (r *Picker) candidates(req Request, now time.Time) (local, remote []*home) {
	var locals, remotes [tierCount][]*home
	for _, h := range r.services[req.Service] {
		if slices.Contains(req.Tried, h.record.Host) {
			continue
		}
		t := r.tierOf(h, req, now)
		if t == tierShedding && req.AvoidShedding {
			continue
		}
		if h.distance == 0 {
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

func (r *Picker) tierOf(h *home, req Request, now time.Time) tier {
	switch {
	case h.blocked(now) || r.cut[h.record.DataCentre] || r.down[h.record.Host]:
		return tierEjected
	case h.level(req.Method, now) > req.Bucket:
		return tierShedding
	}
	return tierGood
}

// choose takes the best of two random homes of the own data centre and two
// others. Sampling keeps entries from crowding at the same best home. A home of
// the own data centre that has room and is fast enough for the objective goes
// before a faster one elsewhere, since bytes between data centres are paid for.
func (r *Picker) choose(local, remote []*home, objective time.Duration, now time.Time) *home {
	if r.cfg.Uniform {
		all := slices.Concat(local, remote)
		return all[r.cfg.Rand.Uint64()%uint64(len(all))]
	}
	near, far := r.sample(local), r.sample(remote)
	least := leastWork(append(near, far...))
	best, bestTime := r.best(near, least, now)
	if best != nil && objective >= objectiveSpread*bestTime && best.room(now) {
		return best
	}
	if other, t := r.best(far, least, now); best == nil || other != nil && t < bestTime {
		return other
	}
	return best
}

// best returns the home that is expected to answer first, or nil.
func (r *Picker) best(homes []*home, least time.Duration, now time.Time) (best *home, bestTime time.Duration) {
	for _, h := range homes {
		if t := r.expected(h, least, now); best == nil || t < bestTime {
			best, bestTime = h, t
		}
	}
	return best, bestTime
}

// sample returns up to two different homes.
func (r *Picker) sample(homes []*home) []*home {
	n := uint64(len(homes))
	if n <= 1 {
		return slices.Clone(homes)
	}
	i := r.cfg.Rand.Uint64() % n
	j := (i + 1 + r.cfg.Rand.Uint64()%(n-1)) % n
	return []*home{homes[i], homes[j]}
}

func leastWork(homes []*home) time.Duration {
	least := time.Duration(0)
	for _, h := range homes {
		if h.work > 0 && (least == 0 || h.work < least) {
			least = h.work
		}
	}
	return max(least, time.Millisecond)
}

// expected estimates the time until the home answers. A home that told nothing
// lately is taken to be as fast as the fastest other choice.
func (r *Picker) expected(h *home, least time.Duration, now time.Time) time.Duration {
	work := h.work
	inFlight, limit, told := h.occupancy(now)
	if work == 0 || !told {
		work = least
	}
	took := work
	if inFlight >= limit {
		took += work * time.Duration(inFlight-limit+1) / time.Duration(limit)
	}
	took += work * time.Duration(inFlight) / time.Duration(limit) / loadWeight
	for range h.failures {
		took *= failurePenalty
	}
	took += time.Duration(failingPenalty * h.failing * float64(took))
	if h.distance > 0 {
		took += time.Duration(remoteShare * float64(took))
	}
	return took + r.delay(h)
}

// delay returns the time of the way to a home and back.
func (r *Picker) delay(h *home) time.Duration {
	if h.distance == 0 {
		return 0
	}
	if measured, ok := r.delays[h.record.DataCentre]; ok {
		return measured
	}
	return stepDelay * time.Duration(h.distance)
}

func (r *Picker) learnDelay(h *home, delay time.Duration) {
	if delay < 0 {
		return
	}
	name := h.record.DataCentre
	old, ok := r.delays[name]
	if !ok || delay < old {
		r.delays[name] = delay
		return
	}
	r.delays[name] = old + (delay-old)/delayMemory
}
