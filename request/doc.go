// Package request decides what happens to HTTP requests: whether one may run,
// whether it may be tried again, and how many run at once.
//
// A request that is not idempotent carries a Key. Each key has one home data
// centre and there one owner, the live host that rendezvous hashing names.
// Before the owner lets an attempt run it writes the claim to its successor, so
// that the next owner knows of it. An owner acts only while it holds a lease:
// promises of a majority of the hosts of its data centre, all with the same
// view of which hosts are live, and only after it has fetched the claims it
// lacked. What an owner cannot know it calls unknown, and never runs.
//
// Keys holds that state and belongs to the control goroutine; events go in and
// messages and verdicts come out. Budget, Admission and Backoff are small parts
// that the traffic goroutines use.
package request
