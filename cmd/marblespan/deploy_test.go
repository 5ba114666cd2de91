package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"testing"
)

// TestDeployedGatewayIsDynamicallyLinked checks that the executable that deploy/balancer.toml builds has a dynamic linker and
// imports the C library. Operators preload a library of their own into each gateway, and a static executable would silently
// ignore it.
func TestDeployedGatewayIsDynamicallyLinked(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the deploy file is for Linux")
	}
	cc, err := exec.Command("go", "env", "CC").Output()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := exec.LookPath(string(regexp.MustCompile(`\S+`).Find(cc))); err != nil {
		t.Skip("no C compiler found")
	}
	root := filepath.Join("..", "..")
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)\./cmd/\.\.\."`).FindSubmatch(deploy)
	run := regexp.MustCompile(`(?m)^run = "exec (\S+)"`).FindSubmatch(deploy)
	if line == nil || run == nil {
		t.Fatal("the deploy file does not build ./cmd/... or does not run a program with exec")
	}
	dir := t.TempDir()
	command := regexp.MustCompile(`-o bin/`).ReplaceAllLiteralString(string(line[1]), "-o "+dir+"/") + "./cmd/marblespan"
	build := exec.Command("/bin/sh", "-c", command)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(filepath.Join(dir, filepath.Base(string(run[1]))))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || len(libraries) == 0 {
		t.Errorf("the gateway is linked statically: it imports %v, %v", libraries, err)
	}
	if f.Section(".interp") == nil {
		t.Error("the gateway has no dynamic linker (section .interp)")
	}
}
