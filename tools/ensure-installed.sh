#!/bin/sh
# Installs the dependencies if they are missing or older than the lock file.
set -eu
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
	npm ci --no-audit --no-fund --loglevel=error
	touch node_modules/.package-lock.json
fi
