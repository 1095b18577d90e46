#!/bin/sh
# Tests .ci/tests, which has to tolerate failures of the tests that KNOWN-RED.txt lists, and no others.
. "$(dirname "$0")/expect.sh"

# Runs .ci/tests on a folder of tests.
expect_tests() { # CASE accepted|rejected TESTS KNOWN: TESTS are NAME=PROGRAM, KNOWN the names that KNOWN-RED.txt lists
  write CTestTestfile.cmake "$(for test in $3; do echo "add_test(${test%%=*} ${test#*=})"; done)"
  rm -f "$work/KNOWN-RED.txt"
  [ -z "$4" ] || write KNOWN-RED.txt "$(printf '%s: a cause, an issue\n' $4)"
  expect "$2" "$1" "$ci/tests" "ctest --test-dir $work" "$work"
}

expect_tests "all pass" accepted "a=true b=true" ""
expect_tests "a test fails" rejected "a=true b=false" ""
expect_tests "a known failure fails" accepted "a=true b=false" "b"
expect_tests "a known failure passes" rejected "a=true b=true" "b"
expect_tests "a test besides the known failure fails" rejected "a=false b=false" "b"
expect_tests "a known failure is not run" rejected "a=true b=$work/missing" "b"
expect_tests "no tests" rejected "" ""
expect_tests "four known failures" rejected "a=false b=false c=false d=false" "a b c d"
finish
