# Functions for the tests of the checks in .ci. Each test sources this file, writes a small tree into the temporary folder
# $work and states whether a check accepts or rejects it.
set -eu
ci=$(cd "$(dirname "$0")/../../.ci" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

write() { # FILE LINE...: writes a file below $work
  path=$work/$1
  shift
  mkdir -p "$(dirname "$path")"
  printf '%s\n' "$@" > "$path"
}

expect() { # accepted|rejected CASE COMMAND...: runs a check and counts a failure if its result is another
  expected=$1 case=$2 result=accepted
  shift 2
  "$@" > "$work/output" 2>&1 || result=rejected
  [ "$result" = "$expected" ] && return
  failures=$((failures + 1))
  echo "case '$case': expected the tree to be $expected, but the check $result it. The check's output:"
  sed 's/^/  /' "$work/output"
}

finish() { # succeeds if every case had the expected result
  [ "$failures" = 0 ]
}
