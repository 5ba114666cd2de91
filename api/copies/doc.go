// Package copies holds the messages of copied state as protocol buffers, with the code that is generated from them.
package copies
