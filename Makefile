# Targets are described in README.md.
GO ?= go
DEPLOYMENT ?= manizales
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
PROGRAMS := currantthread-entry currantthread-sched currantctl currantthread-standin
# The race detector needs a C compiler; without one the tests run without it.
RACE ?= $(shell command -v gcc >/dev/null 2>&1 && echo -race)

# Property tests draw the same cases on every run.
export RAPID_SEED ?= 1
export RAPID_NOFAILFILE ?= true

.PHONY: build test bench lint generate demo up down clean

build:
	@mkdir -p bin
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

test:
	$(GO) test $(RACE) ./...

lint:
	golangci-lint run ./...

generate:
	protoc -I innerproto --go_out=. --go_opt=module=github.com/currantthread/currantthread \
		--connect-go_out=. --connect-go_opt=module=github.com/currantthread/currantthread,simple \
		innerproto/currantthread.proto

demo: build
	bash scripts/demo.sh

up: build
	bash scripts/up.sh $(DEPLOYMENT)

down:
	bash scripts/down.sh

bench: build
	$(GO) run ./internal/figures

clean:
	rm -rf bin run
