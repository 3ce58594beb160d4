#!/bin/sh
# Writes record.txt beside it. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
