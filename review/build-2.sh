#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript: checks that each can be parsed, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
test -f target/fescuestaird.mjs || { echo 'run the build of the deploy file first: target/fescuestaird.mjs is missing' >&2; exit 2; }
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
	[ ! -f "$file" ] || node --check "$file"
done
