// Package decisionlog writes the structured log of an entry host: a line for each
// decision, with a rate limit for each kind of line, and without blocking on the reader
// of the log.
package decisionlog
