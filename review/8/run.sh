#!/usr/bin/env bash
# Freezes a VM while the store comes back from a copy. TROUBLE=0 leaves out both.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/release/skylark-platform
standin=target/review-2/standin
[ -x "$program" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" stale-configuration "$program" "$folder" review/8/record.txt
