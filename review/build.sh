#!/bin/sh
# Builds the stand-ins of the scripts, the project's own among them, into review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/platform ./review/platform
