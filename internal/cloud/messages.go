package cloud

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"memGb"`
	CacheGB     float64  `json:"localGb"`     // disk for images
	FetchGBPerS float64  `json:"pullGbPerS"`  // rate at which it fetches images
	Price       float64  `json:"price"`       // an hour
	SpotPrice   float64  `json:"marketPrice"` // an hour, as a spot machine
	BootS       float64  `json:"startupS"`    // seconds from the rental to the first heartbeat
	Zones       []string `json:"sites"`       // those that have it
}

// MachinePhase is a phase of a rented machine. Its value is the wire's word.
type MachinePhase string

// Phases of rented machines.
const (
	MachineStarting MachinePhase = "starting"
	MachineRunning  MachinePhase = "running"
	MachineFailed   MachinePhase = "failed" // stopped on its own; listed until it is returned
)

// String returns the wire's word.
func (p MachinePhase) String() string { return string(p) }

// Machine is a rented machine as the cloud lists it.
type Machine struct {
	UID         string       `json:"uid"`
	Addr        string       `json:"addr"` // host:port of its worker
	MachineType string       `json:"build"`
	Zone        string       `json:"site"`
	Spot        bool         `json:"loaners"`
	Phase       MachinePhase `json:"phase"`
	AgeS        float64      `json:"heldS"` // seconds since the rental
}

// RentalRequest asks for machines.
type RentalRequest struct {
	Name        string `json:"hire"` // of the request; the cloud carries each name out once
	MachineType string `json:"build"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"` // MaxMachinesPerRental at most
}

// returnRequest returns machines.
type returnRequest struct {
	Hosts []string `json:"hosts"`
}
