# Build, test, lint and run. Needs Go and a C compiler.
.PHONY: build test race lint run

CONFIG ?= deploy/sample.json

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./internal/...

lint:
	.ci/lint

run: build
	PROXY_CONFIG=$(CONFIG) bin/marblespan
