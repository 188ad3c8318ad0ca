#!/bin/sh
# Builds the program of the second review's cases, with all stand-ins, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/testdata/rig2
