# make demo          builds, runs a fleet with stand-ins and checks a short workload
# make demo-gateway  does the same for gateways on the users' platform
# make test          runs the tests with the race detector
# make check         runs the formatter and the linters
# make soak          injects faults into running gateway processes; SEED, MINUTES and PROCESSES are options
# make bench         runs the benchmarks without the tests
GO ?= go
export CGO_ENABLED = 1
# Pattern for go test -skip that matches exactly the tests with a known failure. KNOWN-RED.txt has one
# line for each, which starts with the name of the test, such as TestName/case.
KNOWN_RED := $(shell test -f KNOWN-RED.txt && cut -d' ' -f1 KNOWN-RED.txt | sed 's,/,$$/^,g; s,.*,^&$$,' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
# Packages whose tests run many processes in real time. They run one at a time and apart from the
# rest: under CPU contention, their assertions on times would fail.
HEAVY := internal/(crowd|e2e|gatewayd|lab/soak)$$

.PHONY: build demo demo-gateway test check soak bench proto docs

build:
	$(GO) build -o bin/rockdoor ./cmd/rockdoor
	$(GO) build -o bin/rockdoor-lab ./cmd/rockdoor-lab

demo: build
	KEEP=$(KEEP) scripts/demo.sh

demo-gateway: build
	KEEP=$(KEEP) scripts/demo-gateway.sh

test: build
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	$(GO) test -race $(SKIP) $$($(GO) list ./... | grep -vE '$(HEAVY)')
	$(GO) test -race -p 1 -timeout 20m $(SKIP) $$($(GO) list ./... | grep -E '$(HEAVY)')

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The gateways of a soak are built with a clock that the soak can adjust, to simulate clock errors.
SEED ?= 1
MINUTES ?= 0.5
PROCESSES ?= 8
soak: build
	$(GO) build -tags labclock -o bin/rockdoor-labclock ./cmd/rockdoor
	bin/rockdoor-lab soak --binary bin/rockdoor-labclock --seed $(SEED) --minutes $(MINUTES) --processes $(PROCESSES)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Requires protoc and protoc-gen-go. The generated code is committed.
proto:
	protoc --go_out=. --go_opt=paths=source_relative internal/peer/peerpb/peer.proto

# Regenerates the pages that are generated from the schemas and state charts.
docs:
	ROCKDOOR_UPDATE_DOCS=1 $(GO) test -count=1 -run TestGeneratedPagesAreCurrent ./internal/cli
