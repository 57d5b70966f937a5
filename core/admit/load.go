package admit

import "teaseltack"

// Load reports the gate's state with the admission level of one method.
func (g *Gate) Load(method teaseltack.Method) teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.load()
	if l := g.lanes[method]; l != nil {
		load.Level = l.admission.Level()
	}
	return load
}

// Summary reports the gate's state with the highest admission level.
func (g *Gate) Summary() teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.load()
	for _, l := range g.lanes {
		load.Level = max(load.Level, l.admission.Level())
	}
	return load
}

func (g *Gate) load() teaseltack.Load {
	queued := 0
	for _, l := range g.lanes {
		queued += l.queue.Len()
	}
	return teaseltack.Load{InFlight: g.inFlight + queued, Limit: g.limit.Current()}
}
