# Copyright 2026 The hookhall authors.
# SPDX-License-Identifier: Apache-2.0

GO := go
export GOFLAGS := -mod=readonly
SEEDS ?= 50
SECONDS_EACH ?= 8

.PHONY: build demo test lint unit integration known-red soak soak-gateways experiments slopes generate fuzz

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bash scripts/demo.sh

# Everything that CI runs. Tests listed in KNOWN-RED.txt are skipped by their full names
# and run separately at the end, where one that passes fails the run.
test: lint unit integration known-red

SKIP = -skip "$$($(GO) run ./scripts/knownred skip)"

lint:
	@u=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$u" || { echo "not gofmt-clean: $$u"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race $(SKIP) ./cmd/... ./internal/... ./scripts/... .

integration: build
	$(GO) test -count=1 -timeout 20m $(SKIP) ./platform/...
	$(GO) test -count=1 -timeout 20m $(SKIP) ./test/...

known-red:
	$(GO) run ./scripts/knownred check

# Random schedules of faults against real processes: make soak SEEDS=200
soak: build
	HOOKHALL_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 80m -run TestSchedules ./test/...

# The same for gateways on the platform, SECONDS_EACH per seed:
# make soak-gateways SEEDS=50
soak-gateways:
	HOOKHALL_SEEDS=$(SEEDS) HOOKHALL_SOAK_SECONDS=$(SECONDS_EACH) $(GO) test -count=1 -timeout 80m -run TestSoak ./platform/

# The experiments of docs/MEASURES.md; takes about five minutes.
experiments: build
	bin/hookhall-load experiment --scenario load --time 5s
	bin/hookhall-load experiment --scenario faults --policies baseline,product --time 4s
	bin/hookhall-load edits

# The measurements that docs/CAPACITY.md is derived from.
slopes: build
	bin/hookhall-load slopes

# Fuzz tests of the parsers of external input, TIME each.
TIME ?= 20s
fuzz:
	for f in FuzzRouting FuzzTarget FuzzHeaders FuzzAnswers; do $(GO) test -run XXX -fuzz "^$$f$$" -fuzztime $(TIME) ./platform/ || exit 1; done
	$(GO) test -run XXX -fuzz FuzzEvents -fuzztime $(TIME) ./internal/coordination/forward/
	$(GO) test -run XXX -fuzz FuzzAnswer -fuzztime $(TIME) ./internal/transport/upstream/
	$(GO) test -run XXX -fuzz FuzzParser -fuzztime $(TIME) ./internal/state/eventstream/

generate:
	cd internal/protocol/fleetpb && protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto
	cd internal/protocol/peerpb && protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
