#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The controllers are those of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/world ./review/testdata/world
