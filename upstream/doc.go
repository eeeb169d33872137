// Package upstream decides where an entry host reads the records of the platform's
// store from: the store itself, or another host of its data centre.
//
// All hosts of a data centre compute the same ranking, without an election. Each
// follows the highest-ranked host that responds; the highest-ranked host itself reads
// the store. A host whose upstream becomes unresponsive or outdated reads the store
// until it has another one. The package performs no I/O and reads no clock.
package upstream
