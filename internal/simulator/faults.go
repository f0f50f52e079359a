package simulator

import "fmt"

// Fault is a fault of a single request.
type Fault int

// Faults of single requests. Only the state service supports Delayed: the cloud treats it as
// ResponseLost.
const (
	NoFault      Fault = iota // the request is served
	RequestLost               // the request does not arrive
	ResponseLost              // the request is carried out, but its response is lost
	Delayed                   // the request is carried out when DeliverDelayed is called, and its response is lost
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
	Down                   bool             // no request is served
	UnreachableControllers map[string]bool  // controllers whose requests do not reach the service
	NextFault              map[string]Fault // fault of each controller's next transaction, rental or return of machines
}

// newServiceFaults returns a ServiceFaults without faults.
func newServiceFaults() ServiceFaults {
	return ServiceFaults{UnreachableControllers: map[string]bool{}, NextFault: map[string]Fault{}}
}

// consumeNextFault returns the fault in NextFault for a controller, and clears it.
func (s *ServiceFaults) consumeNextFault(controller string) Fault {
	f := s.NextFault[controller]
	delete(s.NextFault, controller)
	return f
}

// WorkerFaults are the faults of a worker and of its network.
type WorkerFaults struct {
	Partitioned  bool // no message arrives in either direction
	InboundLost  bool // heartbeats arrive, but responses and commands do not reach the worker
	OutboundLost bool // heartbeats do not arrive, but direct commands reach the worker
	Hung         bool // the worker executes nothing and sends nothing, but may resume
}

// responds reports whether the worker receives a direct request and responds to it.
func (f *WorkerFaults) responds() bool { return !f.Partitioned && !f.InboundLost && !f.Hung }
