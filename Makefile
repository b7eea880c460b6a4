# The README refers to `make demo` and `make test`.

GOBIN := $(CURDIR)/bin
export GOFLAGS := -buildvcs=false

GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_VERSION := v1.21.1

.PHONY: build
build: ## Builds every command into bin/.
	go build -o bin/ ./cmd/...
	go build -tags suspendable -o bin/hoistrelay-suspendable ./cmd/hoistrelay

.PHONY: demo
demo: build ## Runs the examples on stand-ins.
	examples/two-nodes/run.sh
	examples/relay/run.sh

.PHONY: test
test: lint ## Runs the linter, the tests, the models, a soak and a rehearsal.
	.ci/go-tests
	models/check.sh
	$(MAKE) soak
	$(MAKE) rehearse

.PHONY: soak
soak: build ## Runs one short seed of the fault soak.
	bin/hoistsoak --seed 7 --for 8s

.PHONY: rehearse
rehearse: build ## Rehearses a small deployment in real time; no verdict if the machine is too busy.
	bin/hoistrehearse examples/rehearse/small.ini --quiet || test $$? -eq 3

.PHONY: fuzz
fuzz: ## Fuzzes each target for half a minute.
	go test ./once -run xxx -fuzz . -fuzztime 30s
	go test ./record -run xxx -fuzz . -fuzztime 30s
	go test ./entry -run xxx -fuzz . -fuzztime 30s
	go test ./relay -run xxx -fuzz . -fuzztime 30s
	go test ./settings -run xxx -fuzz . -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzEffects -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzEntry -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzWord -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzPromptParts -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzReport -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzConfig -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzHeaders -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzRows -fuzztime 30s
	go test ./platform -run xxx -fuzz FuzzQuarantineRow -fuzztime 30s
	go test ./usage -run xxx -fuzz . -fuzztime 30s
	go test ./peering -run xxx -fuzz . -fuzztime 30s
	go test ./internal/httpanswer -run xxx -fuzz . -fuzztime 30s

.PHONY: models
models: ## Checks the models and their variants with spin.
	models/check.sh

bin/golangci-lint-$(GOLANGCI_VERSION):
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv bin/golangci-lint $@

.PHONY: lint
lint: bin/golangci-lint-$(GOLANGCI_VERSION) ## Checks format and style.
	test -z "$$(gofmt -l .)"
	go vet ./...
	bin/golangci-lint-$(GOLANGCI_VERSION) run ./...

.PHONY: measure
measure: build ## Compares the policy with its baselines; takes about a quarter of an hour.
	bin/hoistmeasure --seeds 2

.PHONY: bench
bench: ## Measures the cost of the decision core at four fleet sizes.
	go test ./core -run xxx -bench . -benchtime 0.3s
	go test ./proof -run xxx -bench . -benchtime 1x

.PHONY: generate
generate: ## Regenerates the Go code of the protobuf types. Needs protoc.
	GOBIN=$(GOBIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(GOBIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_VERSION)
	PATH=$(GOBIN):$$PATH protoc -I . --go_out=. --go_opt=paths=source_relative \
		--connect-go_out=. --connect-go_opt=paths=source_relative wire/*.proto platform/platformpb/*.proto
