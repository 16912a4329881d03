#!/usr/bin/env bash
# Builds the cases with their stand-ins into review/dist, one program for each.
# The sources end in .es6, since every .js, .mjs and .ts file of the repository
# has to be in its TypeScript project, which the review must not change.
set -euo pipefail
cd "$(dirname "$0")"
../node_modules/.bin/esbuild [1-5]/run.es6 --bundle --platform=node --target=node20 --format=esm --loader:.es6=js \
	--outbase=. --outdir=dist --out-extension:.js=.mjs --log-level=warning
