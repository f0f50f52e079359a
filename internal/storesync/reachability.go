package storesync

// NoteStoreAnswer notes whether the state service served a request.
func (y *Sync) NoteStoreAnswer(ok bool) {
	state := y.guard.Lock()
	if state.Reachability.StoreReachable != ok {
		state.Reachability.StoreReachable, state.Reachability.Since, state.Reachability.PeersAsked = ok, y.node.Now(), false
		y.node.Log.Info("state service reachability", "reachable", ok)
	}
	y.guard.Unlock()
}

// StoreReachable reports whether the state service served our last request.
func (y *Sync) StoreReachable() bool {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return state.Reachability.StoreReachable
}
