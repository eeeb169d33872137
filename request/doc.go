// Package request decides whether an HTTP request may run, whether it may be
// retried, and how many requests run at once.
//
// A request that is not idempotent carries a Key. Each key has one home data
// centre and, in it, one owner: the live host that rendezvous hashing selects.
// Before the owner lets an attempt run, it replicates the claim to its
// successor, so that the next owner has it. An owner acts only while it holds a
// lease (promises of a majority of the hosts of its data centre, all with the
// same view of the live hosts) and only after it has fetched the claims that it
// lacks. If the owner cannot determine whether a request ran, it reports the
// outcome as unknown and does not run the request.
//
// KeyTracker holds that state for the control goroutine: events go in, messages
// and verdicts come out. Budget, Admission and Backoff are used by the
// goroutines that serve traffic.
package request
