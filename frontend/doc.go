// Package frontend implements the HTTP front end: it validates the requests of
// callers, admits or sheds them, claims idempotency keys, selects a backend
// server, and returns the complete response. If there is none, it reports whether
// the request did not run or its outcome is unknown. docs/REQUESTS.md describes
// the headers.
//
// Packages request and backend make the decisions; the fields of a Handler connect
// it to them. Responses report the outcome in the headers that this package defines.
package frontend
