package simulator

import "fmt"

// Fault is what happens to a single request.
type Fault int

// Faults of single requests.
const (
	NoFault      Fault = iota // the request is served
	RequestLost               // it never arrives
	ResponseLost              // it is carried out, and its response is lost
	Delayed                   // it is carried out when DeliverDelayed is called, and its response is lost
)

// String returns the name of the fault.
func (f Fault) String() string {
	switch f {
	case NoFault:
		return "none"
	case RequestLost:
		return "request lost"
	case ResponseLost:
		return "response lost"
	case Delayed:
		return "delayed"
	}
	return fmt.Sprintf("Fault(%d)", int(f))
}

// ServiceFaults are the faults of a service that controllers call.
type ServiceFaults struct {
	Down             bool             // it serves nobody
	UnreachableNodes map[string]bool  // nodes whose requests do not arrive
	NextFault        map[string]Fault // what happens to a node's next change
}

// newServiceFaults returns no faults.
func newServiceFaults() ServiceFaults {
	return ServiceFaults{UnreachableNodes: map[string]bool{}, NextFault: map[string]Fault{}}
}

// takeNext returns the fault set for a node's next change, and clears it.
func (s *ServiceFaults) takeNextFault(node string) Fault {
	f := s.NextFault[node]
	delete(s.NextFault, node)
	return f
}

// WorkerFaults are the faults of a worker and of its network.
type WorkerFaults struct {
	Partitioned  bool // no message passes, either way
	InboundLost  bool // its heartbeats arrive, responses and commands do not reach it
	OutboundLost bool // its heartbeats reach nobody, direct commands reach it
	Hung         bool // it executes nothing and says nothing, but may go on
}

// answers reports whether a direct request reaches the worker and is answered.
func (f *WorkerFaults) answers() bool { return !f.Partitioned && !f.InboundLost && !f.Hung }
