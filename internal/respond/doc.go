// Package respond builds HTTP responses that several packages use.
package respond
