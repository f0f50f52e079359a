package simulator

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"violetturn/internal/cloud"
)

// machineTypesResponse is the body of the list of machine types.
type machineTypesResponse struct {
	MachineTypes []cloud.MachineType `json:"builds"`
}

// hostsBody is the body with the names of rented machines, or of machines to be returned.
type hostsBody struct {
	Hosts []string `json:"hosts"`
}

// machinesResponse is a page of the list of machines.
type machinesResponse struct {
	Machines  []cloud.Machine `json:"hosts"`
	Truncated bool            `json:"truncated"`
}

// CloudHandler returns the handler of requests to the cloud. Each rented machine gets its own
// loopback address, with the given port.
func (s *Server) CloudHandler(port int) http.Handler {
	c := &cloudHandler{server: s, client: CloudClient{Cloud: s.env.Cloud}, port: port}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", c.machineTypes)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.returnMachines)
	mux.HandleFunc("GET /rentals", c.listMachines)
	return mux
}

// cloudHandler handles requests to the cloud.
type cloudHandler struct {
	server *Server
	client CloudClient
	port   int // port of the machines' workers
}

func (c *cloudHandler) machineTypes(w http.ResponseWriter, r *http.Request) {
	c.server.mu.Lock()
	types, _ := c.client.MachineTypes(r.Context()) // fails only under a cloud fault, which no test injects over HTTP
	c.server.mu.Unlock()
	writeJSON(w, http.StatusOK, machineTypesResponse{types})
}

func (c *cloudHandler) rent(w http.ResponseWriter, r *http.Request) {
	var rental cloud.RentalRequest
	if !readJSON(w, r, &rental) {
		return
	}
	c.server.mu.Lock()
	hosts, err := c.client.Rent(r.Context(), rental)
	for _, host := range hosts {
		c.server.env.Cloud.WorkersByHost[host].Addr = loopbackAddr(host, c.port)
	}
	c.server.mu.Unlock()
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, hostsBody{hosts})
}

func (c *cloudHandler) returnMachines(w http.ResponseWriter, r *http.Request) {
	var body hostsBody
	if !readJSON(w, r, &body) {
		return
	}
	c.server.mu.Lock()
	_ = c.client.Return(r.Context(), body.Hosts) // fails only under a cloud fault, which no test injects over HTTP
	c.server.mu.Unlock()
	writeJSON(w, http.StatusOK, emptyResponse{})
}

func (c *cloudHandler) listMachines(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	c.server.mu.Lock()
	machines, truncated := c.server.env.Cloud.page(r.FormValue("since"), limit)
	c.server.mu.Unlock()
	writeJSON(w, http.StatusOK, machinesResponse{machines, truncated})
}

// loopbackAddr returns the loopback address of a machine, derived from the number in its name.
func loopbackAddr(host string, port int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(host, "i-"))
	ip := net.IPv4(127, 1, byte(n>>8), byte(n))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}
