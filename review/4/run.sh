#!/usr/bin/env bash
# Plays two planned replacements of primaries with a drill of the store between them. TROUBLE=0 leaves the drill out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/release/skylark-platform
standin=target/review-2/standin
[ -x "$program" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" drill "$program" "$folder" review/4/record.txt
