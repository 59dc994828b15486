#!/bin/sh
# Builds what the scripts of the cases start beside the programs of deploy/system.toml: the harness, which holds the stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-harness ./review/harness
