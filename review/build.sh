#!/bin/sh
# Builds the driver of the scripts, with the project's stand-ins in it, into review/bin.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/drive ./review/drive
