// Package entry runs an entry host on the users' platform: it forwards the packets of
// callers to backend servers according to the records in the platform's store.
//
// One goroutine owns the control state and publishes immutable snapshots of it;
// another one forwards packets. The others read the store, exchange feeds with other
// hosts, probe servers and serve health checks and metrics. A host keeps no state on
// disk: a new process is complete once the store has responded.
package entry
