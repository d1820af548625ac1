// Package arch has no code of its own: its tests hold the project's standing
// terms on its packages.
package arch
