#!/usr/bin/env bash
# A server crashes in the middle of an event with a long line, and the stream is resumed elsewhere.
exec bash "$(dirname "$0")/../run-case-2.sh" 7 torn
