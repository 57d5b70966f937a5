#!/bin/sh
# Builds the scripts of the cases and their stand-ins into target/review. The program
# itself is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.go; do
	[ -e "$main" ] || continue
	case=$(basename "$(dirname "$main")")
	go build -o "target/review/case-$case" "./review/$case"
done
