# Commands for people; `make test` is also what CI runs.
GO ?= go
BIN := bin
# The packages whose Go sources are ours and not generated.
SOURCES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build test fmt lint unit demo up down fuzz generate

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test: fmt lint build unit

fmt:
	@out=$$($(GO) tool gofumpt -l $(SOURCES)); if [ -n "$$out" ]; then echo "not formatted (go tool gofumpt -w):"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Seeds are fixed, so that a verdict repeats; -count=1 so that it is earned.
unit:
	$(GO) run ./internal/tools/knownred -- $(GO) test -json -race -count=1 -timeout 8m ./...

# The plugins are the versions that go.mod names.
PLUGINS := $(BIN)/plugins
generate:
	$(GO) build -o $(PLUGINS)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	$(GO) run ./internal/tools/generate $(PLUGINS)/protoc-gen-go,$(PLUGINS)/protoc-gen-go-grpc api/peer/v1/peer.proto api/claims/v1/claims.proto

# Runs the shell blocks of the pages that are marked as runnable.
.PHONY: docs-check
docs-check: build
	$(GO) run ./internal/tools/docscheck README.md $(wildcard docs/operations/*.md)

# The example that `make up` runs: make up SYSTEM=bayanihan
SYSTEM ?= kegsetu

demo: build
	$(GO) run ./internal/tools/demo show --bin $(BIN)

up: build
	$(GO) run ./internal/tools/demo up --bin $(BIN) --example examples/$(SYSTEM)

down:
	$(GO) run ./internal/tools/demo down

# Explores with a new seed each time and prints it: run again with FUZZ_SEED=N.
# Drawn once: a recursive variable would draw another seed at each use.
FUZZ_SEED := $(or $(FUZZ_SEED),$(shell od -An -N4 -tu4 /dev/urandom | tr -d ' '))
FUZZ_CHECKS ?= 20000
FUZZ_TIME ?= 30s

# The packages whose property tests take a seed.
FUZZ_PACKAGES = $(addprefix ./,$(sort $(dir $(shell git grep -l 'testkit/fixedseed"' -- '*_test.go'))))

fuzz:
	@echo "seed $(FUZZ_SEED)"
	DRAGONFLYRAIL_SEED=$(FUZZ_SEED) $(GO) test -count=1 -timeout 30m $(FUZZ_PACKAGES) -rapid.checks=$(FUZZ_CHECKS)
	@git grep -o 'func Fuzz[A-Za-z]*' -- '*_test.go' | while IFS=: read -r file name; do \
		echo "$$file $$name"; \
		$(GO) test -run '^$$' -fuzz "^$${name#func }$$" -fuzztime $(FUZZ_TIME) "./$$(dirname $$file)" || exit 1; \
	done

# Prints the table of routing policies and writes docs/policy-bench.{json,svg};
# policy-bench-short takes seconds and writes nothing.
.PHONY: policy-bench policy-bench-short
policy-bench:
	$(GO) run ./internal/tools/policybench --seeds 5 --json docs/policy-bench.json --svg docs/policy-bench.svg

policy-bench-short:
	$(GO) run ./internal/tools/policybench --short

# Draws the time of a decision over the number of candidates.
.PHONY: cost-plot
cost-plot:
	$(GO) test -run '^$$' -bench 'Rank|Decision' ./internal/core/routing | $(GO) run ./internal/tools/benchplot > docs/decision-cost.svg

# Real processes under drawn faults: make soak SEED=7, or SEEDS=50 from there.
SEED ?= 1
SEEDS ?= 1
.PHONY: soak soak-regress
soak: build
	$(GO) run ./internal/tools/soak --seed $(SEED) --seeds $(SEEDS) --bin $(BIN)

# Each seed that ever failed, again.
soak-regress:
	$(GO) test -count=1 -v -run Regress ./platform/soak

# Draws from the journal of played days worth by round, and losses by cause.
.PHONY: report
report:
	$(GO) run ./internal/tools/worthplot

# Renames go through gopls: gopls rename -w FILE:LINE:COLUMN NEW. It isn't a tool
# of go.mod, because it doesn't build with the versions that go.mod selects.
GOPLS := golang.org/x/tools/gopls@v0.23.0
.PHONY: gopls
gopls:
	$(GO) install $(GOPLS)
