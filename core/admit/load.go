package admit

import "teaseltack"

// Load returns the gate's load with the admission level of one method.
func (g *Gate) Load(method teaseltack.Method) teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.loadLocked()
	if m := g.methods[method]; m != nil {
		load.Level = m.admission.Level()
	}
	return load
}

// Summary returns the gate's load with the highest admission level of all methods.
func (g *Gate) Summary() teaseltack.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.loadLocked()
	for _, m := range g.methods {
		load.Level = max(load.Level, m.admission.Level())
	}
	return load
}

func (g *Gate) loadLocked() teaseltack.Load {
	queued := 0
	for _, m := range g.methods {
		queued += m.queue.Len()
	}
	return teaseltack.Load{InFlight: g.inFlight + queued, Limit: g.limit.Current()}
}
