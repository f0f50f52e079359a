// Package config reads and checks the platform's settings file and the operators' policy file,
// both TOML, and derives the controllers' times and limits from the settings.
//
// Both are read once, at the start. Settings and Policy are never changed afterwards, so any
// goroutine may use them without a lock. Load and LoadPolicy refuse a file with one line that
// names the file, the field and the reason. Settings that this version does not know are
// ignored: the platform may be newer. An expression of a policy that fails while it is
// evaluated gives a documented fallback; it never stops the controller.
package config
