// Package decisionlog writes the structured log of an entry host: a line for
// each decision, within a budget for each kind of line, and never waiting for
// whoever reads the log.
package decisionlog
