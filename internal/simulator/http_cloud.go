package simulator

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"violetturn/internal/cloud"
)

// machineTypesResponse lists the machine types.
type machineTypesResponse struct {
	MachineTypes []cloud.MachineType `json:"builds"`
}

// hostsBody names machines: those that were rented, or are returned.
type hostsBody struct {
	Hosts []string `json:"hosts"`
}

// machinesResponse is a page of the list of machines.
type machinesResponse struct {
	Hosts     []cloud.Machine `json:"hosts"`
	Truncated bool            `json:"truncated"`
}

// CloudHandler returns the handler of requests to the cloud. Machines get addresses of the loopback
// network, one each, at the given port.
func (s *Server) CloudHandler(port int) http.Handler {
	c := &cloudHandler{s: s, client: CloudClient{Cloud: s.w.Cloud}, port: port}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", c.machineTypes)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.returnMachines)
	mux.HandleFunc("GET /rentals", c.list)
	return mux
}

// cloudHandler handles requests to the cloud.
type cloudHandler struct {
	s      *Server
	client CloudClient
	port   int // of the machines' workers
}

func (c *cloudHandler) machineTypes(out http.ResponseWriter, in *http.Request) {
	c.s.mu.Lock()
	types, _ := c.client.MachineTypes(in.Context()) // nothing is refused here
	c.s.mu.Unlock()
	writeJSON(out, http.StatusOK, machineTypesResponse{types})
}

func (c *cloudHandler) rent(out http.ResponseWriter, in *http.Request) {
	var r cloud.RentalRequest
	if !readJSON(out, in, &r) {
		return
	}
	c.s.mu.Lock()
	hosts, err := c.client.Rent(in.Context(), r)
	for _, host := range hosts {
		c.s.w.Cloud.WorkersByHost[host].Addr = loopbackAddr(host, c.port)
	}
	c.s.mu.Unlock()
	if err != nil {
		writeJSON(out, http.StatusServiceUnavailable, errorResponse{err.Error()})
		return
	}
	writeJSON(out, http.StatusOK, hostsBody{hosts})
}

func (c *cloudHandler) returnMachines(out http.ResponseWriter, in *http.Request) {
	var r hostsBody
	if !readJSON(out, in, &r) {
		return
	}
	c.s.mu.Lock()
	_ = c.client.Return(in.Context(), r.Hosts) // nothing is refused here
	c.s.mu.Unlock()
	writeJSON(out, http.StatusOK, emptyResponse{})
}

func (c *cloudHandler) list(out http.ResponseWriter, in *http.Request) {
	limit, _ := strconv.Atoi(in.FormValue("limit"))
	c.s.mu.Lock()
	hosts, truncated := c.s.w.Cloud.page(in.FormValue("since"), limit)
	c.s.mu.Unlock()
	writeJSON(out, http.StatusOK, machinesResponse{hosts, truncated})
}

// loopbackAddr returns a machine's address of its own.
func loopbackAddr(host string, port int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(host, "i-"))
	ip := net.IPv4(127, 1, byte(n>>8), byte(n))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}
