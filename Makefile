# The commands of everyday work. CI runs .ci/run, which is `make check`.
lint_tool := go tool -modfile=tools/lint.mod

.PHONY: build test check lint format bench deadcode

build: ## the program, at target/violetturn
	go build -ldflags=-linkmode=external -o target/violetturn ./cmd/violetturn

test: ## all tests, without the race detector
	go test ./...

check: ## everything that CI checks
	bash test.sh

lint: ## the linters of .golangci.yml
	$(lint_tool) golangci-lint run

format: ## gofumpt and goimports
	$(lint_tool) golangci-lint fmt

deadcode: ## functions that nothing reaches
	$(lint_tool) deadcode -test ./...

bench: ## what a plan, a heartbeat, a start and judging idle machines cost at size
	go test ./internal/controller -run '^$$' -bench 'Plan|Heartbeat|Load|ScaleIn'
