// Package raftstorepb holds the messages of copied state as protocol buffers, with the code that is generated from them.
package raftstorepb
