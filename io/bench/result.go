package bench

import (
	"slices"
	"time"

	"teaseltack"
)

// summarise computes the figures of the requests sent during the trigger, and the
// recovery time after it. Retries, wasted work and double runs cover the whole
// trial.
func (t *trial) summarise() Run {
	run := Run{User: t.site.user, Scenario: t.scenario.name, Variant: t.rig.variant, RanTwice: t.rig.counters.ranTwice()}
	var inTrigger []sample
	for _, s := range t.samples {
		if t.duringTrigger(s.sent) {
			inTrigger = append(inTrigger, s)
		}
	}
	seconds := triggerTime.Seconds()
	offered := float64(len(inTrigger)) / seconds
	complete, protected := t.count(inTrigger)
	achievable, achievableProtected := t.achievable(offered)
	run.OfferedPerS = float64(len(inTrigger)) / seconds
	run.GoodputPerS = float64(complete) / seconds
	run.GoodputRatio = run.GoodputPerS / min(achievable, offered)
	run.ProtectedRatio = float64(protected) / seconds / achievableProtected
	run.RetriesPerRequest = float64(t.rig.counters.retries.Load()) / float64(max(len(t.samples), 1))
	run.WastedShare = t.wasted()
	run.P99Ms = latencyQuantile(inTrigger, p99Quantile)
	run.RecoveryS = t.recovery()
	return run
}

func (t *trial) count(samples []sample) (complete, protected int) {
	for _, s := range samples {
		if !s.complete {
			continue
		}
		complete++
		if t.site.kinds[s.kind].class == teaseltack.ClassProtected {
			protected++
		}
	}
	return complete, protected
}

// achievable returns the rates that the services can sustain of the offered ones,
// for all classes and for the protected class. A slowed service counts with its
// slowed service time.
func (t *trial) achievable(offered float64) (all, protected float64) {
	s := t.site
	if t.scenario.slow {
		s.services = slices.Clone(s.services)
		s.services[len(s.services)-1].work *= slowFactor
	}
	sustainable := s.sustainable(offered)
	for _, rate := range sustainable {
		all += rate
	}
	return all, sustainable[teaseltack.ClassProtected]
}

// wasted returns the share of work spent on requests without a complete answer.
func (t *trial) wasted() float64 {
	wasted, total := time.Duration(0), time.Duration(0)
	for _, s := range t.samples {
		work := t.rig.counters.work[s.id]
		total += work
		if !s.complete {
			wasted += work
		}
	}
	if total == 0 {
		return 0
	}
	return float64(wasted) / float64(total)
}

func latencyQuantile(samples []sample, quantile float64) float64 {
	var took []time.Duration
	for _, s := range samples {
		if s.complete {
			took = append(took, s.took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	index := min(int(float64(len(took))*quantile), len(took)-1)
	return float64(took[index].Microseconds()) / 1000
}

// recovery returns the seconds from the trigger's end to the first of
// steadyWindowCount consecutive good windows, or recoveryTime if there are none.
func (t *trial) recovery() float64 {
	before := t.completeShare(warmUpTime/2, warmUpTime)
	end := warmUpTime + triggerTime
	good := 0
	for at := end; at+recoveryWindow <= end+recoveryTime; at += recoveryWindow {
		if t.completeShare(at, at+recoveryWindow) < normalServiceShare*before {
			good = 0
			continue
		}
		good++
		if good == steadyWindowCount {
			return (at - end - (steadyWindowCount-1)*recoveryWindow).Seconds()
		}
	}
	return recoveryTime.Seconds()
}

// completeShare returns the share of complete answers among the requests sent in
// [from, to); 1 if none were sent.
func (t *trial) completeShare(from, to time.Duration) float64 {
	complete, sent := 0, 0
	for _, s := range t.samples {
		if s.sent < from || s.sent >= to {
			continue
		}
		sent++
		if s.complete {
			complete++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(complete) / float64(sent)
}
