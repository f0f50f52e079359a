// Command stage plays one case of the second review: it starts the controllers as separate
// processes with the command of the deploy file, serves stand-ins of the state service, the cloud
// and the workers on loopback addresses, acts as the users, and judges what they saw.
//
// Each controller has an address of its own at the state service, so that a disruption can affect
// one controller. The stand-ins follow the users' protocol; a case sets only disruptions that the
// users' pages name.
package main
