#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in refused unasked; do
    rustc --edition 2024 -O -o "target/review/$program" "review/standin/$program.rs"
done
