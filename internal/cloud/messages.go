package cloud

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"memGb"`
	CacheGB     float64  `json:"localGb"`     // disk space for images
	FetchGBPerS float64  `json:"pullGbPerS"`  // rate at which the machine fetches images
	Price       float64  `json:"price"`       // per hour
	SpotPrice   float64  `json:"marketPrice"` // per hour, as a spot machine
	BootS       float64  `json:"startupS"`    // seconds from the rental to the first heartbeat
	Zones       []string `json:"sites"`       // zones that offer the type
}

// MachinePhase is the phase of a rented machine, as the cloud's messages spell it.
type MachinePhase string

// Phases of rented machines.
const (
	MachineStarting MachinePhase = "starting"
	MachineRunning  MachinePhase = "running"
	MachineFailed   MachinePhase = "failed" // stopped by itself; listed until it is returned
)

// String returns the phase as the cloud's messages spell it.
func (p MachinePhase) String() string { return string(p) }

// Machine is a rented machine as the cloud lists it.
type Machine struct {
	UID         string       `json:"uid"`  // the host name
	Addr        string       `json:"addr"` // host:port of its worker
	MachineType string       `json:"build"`
	Zone        string       `json:"site"`
	Spot        bool         `json:"loaners"`
	Phase       MachinePhase `json:"phase"`
	AgeS        float64      `json:"heldS"` // seconds since the rental
}

// RentalRequest is a request to rent machines.
type RentalRequest struct {
	Name        string `json:"hire"` // of the request; the cloud carries out one request per name
	MachineType string `json:"build"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"` // MaxMachinesPerRental at most
}

// returnRequest is a request to return machines.
type returnRequest struct {
	Hosts []string `json:"hosts"`
}
