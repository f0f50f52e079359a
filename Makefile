# Targets for development. CI runs .ci/run, which runs `make check`.
lint_tool := go tool -modfile=tools/lint.mod

.PHONY: build test check lint format bench deadcode

build: ## builds the program as target/violetturn
	go build -ldflags=-linkmode=external -o target/violetturn ./cmd/violetturn

test: ## runs all tests without the race detector
	go test ./...

check: ## runs all checks of CI
	bash test.sh

lint: ## runs the linters configured in .golangci.yml
	$(lint_tool) golangci-lint run

format: ## formats the code with gofumpt and goimports
	$(lint_tool) golangci-lint fmt

deadcode: ## lists unreachable functions
	$(lint_tool) deadcode -test ./...

bench: ## benchmarks scheduling plans, heartbeats (one machine full of small tasks too), startup and scale-in at production size
	go test ./internal/controller -run '^$$' -bench 'Plan|Heartbeat|FullMachine|Load|ScaleIn'
