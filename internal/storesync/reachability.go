package storesync

// RecordStoreAnswer notes whether the state service served a request.
func (s *Sync) RecordStoreAnswer(served bool) {
	state := s.guard.Lock()
	changed := state.Reachability.RecordStoreAnswer(served, s.node.Now())
	s.guard.Unlock()
	if changed {
		s.node.Log.Info("state service reachability", "reachable", served)
	}
}

// StoreReachable reports whether the state service served our last request.
func (s *Sync) StoreReachable() bool {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Reachability.StoreReachable
}
