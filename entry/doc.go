// Package entry runs one entry host on the users' platform: it forwards the
// packets of callers to backend servers by what the platform's store says.
//
// One goroutine owns the control state and publishes an immutable snapshot of
// it; another one forwards packets. The rest ask the store and answer health
// checks. A host keeps nothing: a new process knows all it needs once the store
// has answered.
package entry
