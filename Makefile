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
	@unformatted=$$(gofmt -l brain cmd internal); \
	if [ -n "$$unformatted" ]; then echo "not gofmt'd: $$unformatted" >&2; exit 1; fi
	go vet ./...

run: build
	PROXY_CONFIG=$(CONFIG) bin/marblespan
