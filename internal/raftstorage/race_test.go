//go:build race

package raftstorage

// raced: with the race detector goes a check of pointers that ends the process wherever the library builds one from a spoilt
// length, before it is read.
const raced = true
