// Package guard contains the rules that every request, attempt and connection of a process
// must pass: when a request may be accepted, when an attempt may be written or retried,
// when a request may be refused, when a connection may be closed, and what a process does
// during shutdown. It does no I/O, reads no clock and starts no goroutine.
package guard
