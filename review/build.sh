#!/usr/bin/env bash
# The stand-ins are scripts that the project's own Node.js runs as they are, so building them is a check that it accepts each.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/*.js review/[1-5]/*.js; do
	[ -e "$script" ] || continue
	node_modules/.bin/node --check "$script"
done
