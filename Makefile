# make check runs all that CI runs; make demo starts a small deployment on loopback.
SHELL := /bin/bash
.SHELLFLAGS := -euo pipefail -c
BIN := $(CURDIR)/bin
TOOLS := $(BIN)/gofumpt $(BIN)/goimports $(BIN)/revive $(BIN)/staticcheck $(BIN)/errcheck
PACKAGES := ./...

.PHONY: check build tools format format-check lint vet test model demo bench capacity

check: build format-check vet lint model test

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/... ./trial/cmd/...

tools: $(TOOLS)

$(TOOLS): tools/go.mod
	@mkdir -p $(BIN)
	cd tools && GOBIN=$(BIN) go install tool
	@touch $(TOOLS)

format: tools
	$(BIN)/gofumpt -w $$(git ls-files -co --exclude-standard '*.go')
	$(BIN)/goimports -local github.com/bilberryvane/bilberryvane -w $$(git ls-files -co --exclude-standard '*.go')

format-check: tools
	@unformatted=$$($(BIN)/gofumpt -l $$(git ls-files -co --exclude-standard '*.go'); \
	  $(BIN)/goimports -local github.com/bilberryvane/bilberryvane -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "run make format:"; echo "$$unformatted"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint: tools
	$(BIN)/revive -config revive.toml -set_exit_status -formatter friendly $(PACKAGES)
	$(BIN)/staticcheck $(PACKAGES)
	$(BIN)/errcheck -exclude .errcheck-excludes $(PACKAGES)

test:
	@.ci/test

model:
	@.ci/model

demo: build
	$(BIN)/trial-demo

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

capacity: build
	$(BIN)/trial-capacity
