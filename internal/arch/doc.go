// Package arch contains tests of architectural rules for the project's packages.
package arch
