package notify

// Signal wakes one waiting goroutine; further signals until it looks are dropped.
type Signal chan struct{}

// NewSignal returns a signal that nobody has sent yet.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the goroutine that waits for the signal, now or when it next looks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
