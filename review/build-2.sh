#!/bin/sh
# Builds the cases 6 to 10 with their stand-ins into review/dist, one program for each.
# The sources end in .es6, since a test of the project wants every .mjs file in its
# TypeScript project, which the review must not change.
set -e
cd "$(dirname "$0")"
../node_modules/.bin/esbuild 6/case.es6 7/case.es6 8/case.es6 9/case.es6 10/case.es6 --bundle --platform=node --target=node20 \
	--format=esm --loader:.es6=js --outbase=. --outdir=dist --out-extension:.js=.mjs --log-level=warning
