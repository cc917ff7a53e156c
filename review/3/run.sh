#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
n=$(basename "$PWD")
cd ../.. || exit 2
for program in target/release/frostdyke-proxy "target/review/case-$n"; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec "target/review/case-$n" "review/$n"
