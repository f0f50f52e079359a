// Package respond builds the HTTP answers that several packages give.
package respond
