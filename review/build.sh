#!/bin/sh
# Builds the stand-ins of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/cases/...
