# Every command that CI runs has a target here.
RAPID := -rapid.seed=20261204 -rapid.checks=200

FUZZTIME := 60s

SOAK := -soak.seed=$(shell date +%s) -soak.seeds=20

.PHONY: all build test test-long race soak soak-returns fuzz lint generate measure slopes bench demo clean

all: build test lint

build:
	go build -o bin/teaseltack ./cmd/teaseltack

test:
	scripts/test $(RAPID)

test-long:
	scripts/test -rapid.checks=5000

race:
	go test -race ./core/...

soak:
	go test ./e2e/soak -v -timeout 60m -run TestSoak $(SOAK)

soak-returns:
	go test ./e2e/soak -v -timeout 60m -run TestSoakReturns -soak.returns $(SOAK)

fuzz:
	scripts/fuzz $(FUZZTIME)

lint:
	scripts/lint

generate:
	scripts/generate

measure: build
	bin/teaseltack measure --out measure.json

slopes: build
	bin/teaseltack slopes --out slopes.json

bench:
	go test -run '^$$' -bench . -benchmem ./...

demo:
	go run ./cmd/teaseltack demo

clean:
	rm -rf bin measure.json slopes.json
