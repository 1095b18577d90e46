#!/bin/sh
# Runs one case of this review: run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
program=build-review-2/$2
[ -x "$program" ] && [ -x build/gorsebeam-gateway ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
work=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$folder/record.txt" "$work"
result=$?
rm -rf "$work"
case $result in 0 | 1 | 2) ;; *) result=2 ;; esac
echo "$2: $result ($(tail -n 1 "$folder/record.txt" 2> /dev/null))"
exit $result
