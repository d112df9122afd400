#!/bin/sh
# Installs the dependencies if they are missing, older than the lock file or built for another processor.
set -eu
runtime_works() {
	node_modules/.bin/node --version >/dev/null 2>&1
}
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ] || ! runtime_works; then
	npm ci --no-audit --no-fund --loglevel=error
	touch node_modules/.package-lock.json
fi
# npm leaves out runtimes for other processors without an error.
if ! runtime_works; then
	echo "No Node.js runtime runs here ($(uname -s) on $(uname -m)). Use Linux on x86-64 or arm64, with npm's optional dependencies enabled." >&2
	exit 1
fi
