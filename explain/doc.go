// Package explain extracts the lines that concern a flow from the logs of entry hosts:
// the decisions of each host about it and the state of the servers involved.
package explain
