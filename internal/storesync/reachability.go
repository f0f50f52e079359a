package storesync

// RecordStoreResponse records whether the state service served a request.
func (s *Sync) RecordStoreResponse(served bool) {
	state := s.guard.Lock()
	changed := state.Reachability.RecordStoreResponse(served, s.node.Now())
	s.guard.Unlock()
	if changed {
		s.node.Log.Info("state service reachability", "reachable", served)
	}
}

// StoreReachable reports whether the state service served this controller's last request.
func (s *Sync) StoreReachable() bool {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Reachability.StoreReachable
}
