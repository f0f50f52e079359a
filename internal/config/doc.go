// Package config reads and validates the platform's settings file and the operators' policy file,
// both in TOML, and derives the controller's intervals, timeouts and limits from the settings.
//
// Both files are read once at startup. Settings and Policy are immutable afterwards, so any
// goroutine may use them without a lock. For an invalid file, Load and LoadPolicy return a
// one-line error that names the file, the field and the reason. Unknown settings are ignored,
// because the platform may be newer than this program. If a policy expression fails during
// evaluation, a documented fallback value is used; the controller never stops because of it.
package config
