// Package door serves HTTP requests of callers: it checks them, admits or sheds
// them, claims idempotency keys, chooses a backend server, and gives the whole
// answer back, or says truly that the request did not run or that its outcome
// is unknown. docs/REQUESTS.md describes the headers.
//
// A Door is an http.Handler. The decisions are those of packages request and
// backend; the fields of a Door connect it to them. Its answers tell the
// outcome in the headers that this package names.
package door
