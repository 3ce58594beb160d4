#!/bin/sh
# The stand-ins and the scripts are plain JavaScript: nothing is compiled, only their syntax is checked.
set -e
cd "$(dirname "$0")"

for file in lib/*.mjs */run.mjs
do
	node --check "$file"
done
