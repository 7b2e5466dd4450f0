#!/usr/bin/env bash
# A part of long prompts crashes each server that begins to answer, while sound requests run there.
exec bash "$(dirname "$0")/../run-case-2.sh" 8 parts
