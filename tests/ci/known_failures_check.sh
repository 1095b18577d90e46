#!/bin/sh
# .ci/tests passes over the tests that KNOWN-RED.txt lists, and over nothing else.
. "$(dirname "$0")/expect.sh"

# CASE accepted|rejected TESTS KNOWN: a test folder with NAME=PROGRAM for each test, and the tests listed as known.
tests() {
  write CTestTestfile.cmake "$(for test in $3; do echo "add_test(${test%%=*} ${test#*=})"; done)"
  rm -f "$work/KNOWN-RED.txt"
  [ -z "$4" ] || write KNOWN-RED.txt "$(printf '%s: a cause, an issue\n' $4)"
  expect "$2" "$1" "$ci/tests" "ctest --test-dir $work" "$work"
}

tests "all pass" accepted "a=true b=true" ""
tests "one fails" rejected "a=true b=false" ""
tests "a known one fails" accepted "a=true b=false" "b"
tests "a known one passes" rejected "a=true b=true" "b"
tests "another than the known one fails" rejected "a=false b=false" "b"
tests "a known one is not run" rejected "a=true b=$work/missing" "b"
tests "no test" rejected "" ""
tests "four known ones" rejected "a=false b=false c=false d=false" "a b c d"
finish
