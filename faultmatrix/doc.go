// Package faultmatrix injects every fault at every step of every procedure and
// checks the promises that must always hold.
//
// A World connects the control states of a few entry hosts by small fakes: a
// message carrier with delays, loss and cuts, a platform store, backend servers
// and callers. Time is virtual and all randomness comes from one seed, so a cell
// gives the same result every time. Run makes the cells and Table prints them.
//
// The fakes know nothing of the decisions. What is checked is what callers and
// backend servers saw.
package faultmatrix
