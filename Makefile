# Commands for developers; CONTRIBUTING.md describes them.
LINT = go tool -modfile=tools/lint/go.mod golangci-lint
OGEN = go tool -modfile=tools/ogen/go.mod ogen
BUF  = go tool -modfile=tools/proto/go.mod buf

.PHONY: build demo test format lint generate generated vet unit slopes soak

build:
	go build -o bin/ . ./cmd/...

# demo runs a small fleet with emulated external systems on loopback and checks one call of each kind.
demo: build
	scripts/demo.sh

# test runs all checks of the CI.
test: format lint generated build vet unit

format:
	@$(LINT) fmt --diff > /tmp/chicorydale-format.$$$$ 2>&1; status=$$?; cat /tmp/chicorydale-format.$$$$; \
	  rm -f /tmp/chicorydale-format.$$$$; exit $$status

lint:
	$(LINT) run ./...

vet:
	go vet ./...

# KNOWN_RED matches the tests that KNOWN-RED.txt lists as "- test NAME". unit passes over just these; .ci/run prints the file.
KNOWN_RED = $(shell sed -n 's/^- test \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

# UNRACED matches the tests that are built without the race detector only: the runtime of that fails checks of its own in them.
UNRACED = TestNoStreamGoesOnAtAnotherBuild

unit:
	go test -race -count=1 $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...
	go test -count=1 -run '^($(UNRACED))$$' $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./internal/gateway

# soak repeats the randomized simulation tests with new seeds for the time SOAK: make soak SOAK=30m.
SOAK = 5m
soak:
	scripts/soak.sh $(SOAK)

# slopes measures the resource cost of routers at several fleet sizes; it takes about six minutes.
slopes: build
	bin/slope

generate:
	$(OGEN) --target internal/oas --package oas --clean --config ogen.yml api/openapi.yaml
	$(BUF) generate

# generated fails if the committed generated code differs from the generator output.
generated: generate
	git diff --exit-code --stat -- internal/oas internal/fleetpb

# measure prints the fairness, utilisation and control traffic of chicorydale and of baseline algorithms; see docs/measures.md.
measure:
	go run ./cmd/measure
