// Command stand-2 plays the cases of the second review. It starts the project's own entry
// hosts as separate processes with the command of the deploy file, on loopback addresses and the
// real clock, between small stand-ins for the users' platform: the metadata store, the targets,
// the requesters and the routers. It judges only what these have seen.
package main
