// Package external defines interfaces to the external systems that a controller uses: the state
// service, the cloud, the workers and the peers. The clients in internal/store, cloud,
// worker and peer implement them, and so do the simulated services of the tests.
package external
