package notify

// Signal wakes one waiting goroutine, which receives from it; further signals until it looks
// are dropped. Use NewSignal.
type Signal chan struct{}

// NewSignal makes a signal that nobody has given yet.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the goroutine that waits for the signal, now or when it next looks. It never
// blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
