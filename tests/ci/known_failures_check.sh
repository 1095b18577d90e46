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

# Lines of KNOWN-RED.txt that name no test.
expect_with_unnamed_lines() { # CASE accepted|rejected TESTS [NAME]: NAME is the one test that KNOWN-RED.txt lists
  write CTestTestfile.cmake "$(for test in $3; do echo "add_test(${test%%=*} ${test#*=})"; done)"
  write KNOWN-RED.txt ": a program, a cause, an issue" ": another program, a cause, an issue"
  [ -z "${4-}" ] || echo "$4: a cause, an issue" >> "$work/KNOWN-RED.txt"
  expect "$2" "$1" "$ci/tests" "ctest --test-dir $work" "$work"
}

expect_with_unnamed_lines "a known failure fails beside lines without a test" accepted "a=true b=false" "b"
expect_with_unnamed_lines "a known failure passes beside lines without a test" rejected "a=true b=true" "b"
expect_with_unnamed_lines "another test fails beside lines without a test" rejected "a=false b=false" "b"
expect_with_unnamed_lines "all pass, and only lines without a test" accepted "a=true b=true"
expect_with_unnamed_lines "a test fails, and only lines without a test" rejected "a=true b=false"
expect_with_unnamed_lines "no tests, and only lines without a test" rejected ""
finish
