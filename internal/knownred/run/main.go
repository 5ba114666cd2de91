// Command run checks a test run in CI. It reads the output of "go test -json" on standard input and the list of known failures
// from the file that its argument names. The command exits with 1 if a test that is not on the list failed, if a test on the list
// did not fail, or if a package could not be tested.
package main

import (
	"fmt"
	"os"

	"marblespan/internal/knownred"
)

const module = "marblespan"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: run LIST")
	}
	list, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer list.Close()
	entries, err := knownred.ParseList(list)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	results, err := knownred.Read(os.Stdin, module, os.Stdout)
	if err != nil {
		return err
	}
	for _, e := range entries {
		fmt.Printf("known to fail: %s: %s\n", e.Test, e.Cause)
	}
	faults := knownred.Check(entries, results)
	for _, f := range faults {
		fmt.Println(f)
	}
	fmt.Printf("%d passed, %d failed\n", len(results.Passed), len(results.Failed))
	if len(faults) > 0 {
		return fmt.Errorf("%d faults", len(faults))
	}
	return nil
}
