//go:build !race

package raftstorage

const raceDetector = false
