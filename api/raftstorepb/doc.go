// Package raftstorepb holds the messages of the state store as protocol buffers, with the code that protoc generates from them:
//
//	protoc --go_out=. --go_opt=paths=source_relative api/raftstorepb/raftstore.proto
package raftstorepb
