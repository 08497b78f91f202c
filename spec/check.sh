#!/bin/sh
# Model-checks the specification, once as it is and once without each safeguard.
# Fails if an assertion is violated, if the search was incomplete, or if the
# model without a safeguard violates no assertion.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

search() {  # NAME DEFINE...: writes the report to $work/NAME/report
    mkdir -p "$work/$1"
    (
        cd "$work/$1"
        shift
        spin -a "$@" "$here/at_most_once.pml" >/dev/null
        cc -O2 -DSAFETY -DMEMLIM=6000 -DVECTORSZ=2048 -o pan pan.c
        ./pan -m100000 -w24 >report 2>&1 || true
    )
}

search whole &
for safeguard in LEDGER RENOUNCING INCARNATION QUARANTINE LEAVING GRANTS
do
    search "$safeguard" "-DNO_$safeguard" &
done
wait

failed=0
report=$work/whole/report
grep -E "states, stored|depth reached" "$report" | sed 's/^/whole: /'
if ! grep -q "errors: 0" "$report" ||
    grep -qE "not completed|max search depth too small" "$report"
then
    echo "whole: an assertion was violated, or the search was incomplete"
    failed=1
fi
for safeguard in LEDGER RENOUNCING INCARNATION QUARANTINE LEAVING GRANTS
do
    if grep -q "assertion violated" "$work/$safeguard/report"
    then
        echo "without $safeguard: assertion violated, as expected"
    else
        echo "without $safeguard: NO ASSERTION VIOLATED"
        failed=1
    fi
done
exit $failed
