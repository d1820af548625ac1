// Package guard holds the rules that every request, attempt and connection of a
// process passes: when a request may be taken, when an attempt may be written or
// repeated, when a request may be refused, when a connection may be closed, and
// what a process that was told to end still does. It decides only: it does no
// I/O, reads no clock and starts no goroutine.
package guard
