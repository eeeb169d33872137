// Package explain tells the story of a flow from the logs of entry hosts: what
// each host decided about it, and what it believed of the servers involved.
package explain
