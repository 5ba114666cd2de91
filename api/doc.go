// Package api holds the messages of membership as protocol buffers. The gateway writes and reads them by hand
// (internal/protocol/members); the code that is generated from them is for tests.
package api
