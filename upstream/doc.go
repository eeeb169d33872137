// Package upstream decides from whom an entry host learns what the platform's
// store says: from the store itself, or from another host of its data centre.
//
// All hosts of a data centre rank each other alike, without an election. Each
// learns from the best one that answers; the best one itself reads the store. A
// host whose upstream falls silent or late reads the store until it has another.
// Nothing here does I/O or reads a clock.
package upstream
