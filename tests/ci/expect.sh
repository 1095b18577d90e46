# Sourced by the tests of the checks in .ci: a temporary tree in $work, and a table of what each check does with it.
set -eu
ci=$(cd "$(dirname "$0")/../../.ci" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

write() { # FILE LINE...: writes a file of the tree
  path=$work/$1
  shift
  mkdir -p "$(dirname "$path")"
  printf '%s\n' "$@" > "$path"
}

expect() { # accepted|rejected CASE COMMAND...: runs a check
  wanted=$1 case=$2 result=accepted
  shift 2
  "$@" > "$work/output" 2>&1 || result=rejected
  [ "$result" = "$wanted" ] && return
  failures=$((failures + 1))
  echo "$case: expected the check to say '$wanted', it said '$result':"
  sed 's/^/  /' "$work/output"
}

finish() {
  [ "$failures" = 0 ]
}
