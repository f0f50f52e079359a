// Package external names the outside systems as a controller uses them: the state service, the
// cloud, the workers and the other controllers. The clients in internal/store, cloud, worker
// and peer implement the interfaces, and so do the simulated services of the tests.
package external
