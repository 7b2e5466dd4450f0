#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, the project's own stand-in of the store
# among them, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standins-2 ./review/standins-2/platform
