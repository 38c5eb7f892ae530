#!/usr/bin/env bash
# Exits with 1 if an item of an ended job reaches a runner too late, 0 if none does, 2 if the case
# could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/notchwharfd
if [ ! -x "$program" ]; then
    cargo build --release --locked --offline -p notchwharf-server --bin notchwharfd || exit 2
fi
if [ ! -x target/review/unasked ]; then
    review/build.sh || exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# Unset means with the disruption.
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=without-trouble
else
    trouble=with-trouble
fi
target/review/unasked "$program" review/3/record.txt "$dir" "$trouble"
