#!/usr/bin/env bash
# Sends messages whose data holds a line feed. TROUBLE=0 sends a blank in its place.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/release/skylark-platform
standin=target/review-2/standin
[ -x "$program" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$standin" line-feed "$program" "$folder" review/5/record.txt
