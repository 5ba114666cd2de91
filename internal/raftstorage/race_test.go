//go:build race

package raftstorage

// raceDetector: the race detector comes with a check of pointers that ends the process where the library makes one from a damaged
// length, before it is read.
const raceDetector = true
