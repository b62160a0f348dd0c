# Commands of a developer: see CONTRIBUTING.md.
LINT = go tool -modfile=tools/lint/go.mod golangci-lint
OGEN = go tool -modfile=tools/ogen/go.mod ogen
BUF  = go tool -modfile=tools/proto/go.mod buf

.PHONY: build demo test format lint generate generated vet unit slopes soak

build:
	go build -o bin/ . ./cmd/...

# demo runs a small fleet with emulated outside systems on loopback and checks one call of each kind.
demo: build
	scripts/demo.sh

# test is what CI runs.
test: format lint generated build vet unit

format:
	@$(LINT) fmt --diff > /tmp/chicorydale-format.$$$$ 2>&1; status=$$?; cat /tmp/chicorydale-format.$$$$; \
	  rm -f /tmp/chicorydale-format.$$$$; exit $$status

lint:
	$(LINT) run ./...

vet:
	go vet ./...

unit:
	go test -race -count=1 ./...

# soak repeats the random schedules of the decision cores with new seeds: make soak SOAK=30m.
SOAK = 5m
soak:
	scripts/soak.sh $(SOAK)

# slopes measures what routers cost at several sizes, in about six minutes.
slopes: build
	bin/slope

generate:
	$(OGEN) --target internal/oas --package oas --clean --config ogen.yml api/openapi.yaml
	$(BUF) generate

# generated fails if the committed generated code is not current.
generated: generate
	git diff --exit-code --stat -- internal/oas internal/fleetpb

# measure prints fairness, utilisation and control traffic of the product and of baselines: see docs/measures.md.
measure:
	go run ./cmd/measure
