package notify

// Signal wakes one goroutine that receives from it. While a notification is pending, further ones
// are discarded. Use NewSignal to make one.
type Signal chan struct{}

// NewSignal makes a signal without a pending notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes a goroutine that receives from the signal, now or at its next receive. It never
// blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
