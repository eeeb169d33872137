// Package admission decides which new flows are refused while a service has not enough
// capacity for all of them.
//
// The package does no I/O and reads no clock.
package admission
