#!/bin/sh
# Tests .ci/soak, which has to fail if the fault soak saw a violation or could not run.
. "$(dirname "$0")/expect.sh"

expect_status() { # CASE accepted|rejected STATUS: STATUS is that with which the fault soak exits
  write tests/fault_soak "#!/bin/sh" "exit $3"
  chmod +x "$work/tests/fault_soak"
  expect "$2" "$1" "$ci/soak" "$work" program
}

expect_status "no violations" accepted 0
expect_status "a violation" rejected 1
expect_status "a soak that cannot run" rejected 2
expect_status "all runs delayed" accepted 3
rm "$work/tests/fault_soak"
expect rejected "no soak" "$ci/soak" "$work" program
finish
