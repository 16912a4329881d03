#!/usr/bin/env bash
# Nothing has to be compiled: the stand-ins of the cases are plain modules of
# Node in review/lib. Checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
