# Development targets. `make demo` and `make test` need only Go.

GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
BIN := $(CURDIR)/bin
GO := go

.PHONY: all build demo test race lint format snapshots generate fuzz bench explore model soak red gopls clean

all: build test

# -buildvcs=false keeps builds the same inside and outside a checkout.
build: ## Build the program into bin/.
	$(GO) build -buildvcs=false -o $(BIN)/fescuespindle ./cmd/fescuespindle

demo: build ## Start two whole sites in one process and show them under load.
	$(BIN)/fescuespindle demo

test: lint race ## Everything that CI checks.

race: ## Run all tests with the race detector.
	$(GO) test -race -count=1 ./...

lint: $(BIN)/golangci-lint ## Check format and style.
	$(BIN)/golangci-lint run ./...

format: $(BIN)/golangci-lint ## Format all code.
	$(BIN)/golangci-lint fmt ./...

$(BIN)/golangci-lint:
	GOBIN=$(BIN) GOFLAGS= $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

gopls: $(BIN)/gopls ## Install the language server, for renames over the whole module.

$(BIN)/gopls:
	GOBIN=$(BIN) GOFLAGS= $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

snapshots: ## Regenerate the golden files; check the difference before committing.
	UPDATE_SNAPSHOTS=1 $(GO) test -count=1 ./pkg/... ./internal/faces/commander/... ./examples/...

generate: ## Regenerate generated code.
	$(GO) tool wire ./internal/wiring/assembler ./internal/wiring/entryvm

fuzz: ## Fuzz each parser of external input for a short time.
	./scripts/fuzz.sh 20s

bench: ## Run the benchmarks of the decision code.
	$(GO) test -run '^$$' -bench . -benchmem ./internal/online/chooser/ ./internal/batch/yielder/ ./internal/online/admitter/

PROPERTY_TESTS := ./internal/online/chooser ./internal/control/propagator ./internal/online/quarantiner ./internal/batch/yielder

explore: ## Run the property tests with 20 seeds other than CI's.
	for seed in $$(seq 1 20); do \
		$(GO) test -count=1 $(PROPERTY_TESTS) -rapid.seed=$$seed -rapid.checks=500 || exit 1; \
	done

model: ## Compare the decisions with an omniscient scheduler on 20 days of each load.
	$(GO) test -count=1 -v ./internal/laboratory/daysimulator -daysimulator.seeds=20 -daysimulator.length=60s

soak: ## Run real processes under random faults with 50 seeds other than CI's.
	$(GO) test -count=1 -timeout 30m ./platform/integration -run TestSoak -soak.seed=$${SEED:-1000} -soak.seeds=50

red: ## Run the known failures that KNOWN-RED.txt lists.
	./scripts/known-red.sh

clean:
	rm -rf $(BIN) out
