#!/bin/sh
# Tests .ci/policy, which has to reject a deploy file that names missing files, and policy files that are not formatted.
. "$(dirname "$0")/expect.sh"

# Runs .ci/policy on a tree. POLICY and NODE are the values of the keys in deploy/balancer.toml, LINE the content of
# src/router/a.cpp.
expect_policy() { # CASE accepted|rejected POLICY NODE LINE
  write deploy/balancer.toml "policy = [$3]" "node = [$4]"
  write src/router/a.cpp "$5"
  expect "$2" "$1" "$ci/policy" "$work"
}

cp "$ci/../.clang-format" "$work"
policy_file='"src/router/a.cpp"'
long_line="// $(printf '%098d' 0)"
expect_policy "all files exist" accepted "$policy_file" "$policy_file, \"src/router\"" 'int a = 1;'
expect_policy "a missing policy file" rejected "$policy_file, \"src/router/b.cpp\"" "$policy_file" 'int a = 1;'
expect_policy "a policy file that is a folder" rejected '"src/router"' "$policy_file" 'int a = 1;'
expect_policy "a missing node file" rejected "$policy_file" "$policy_file, \"src/net\"" 'int a = 1;'
expect_policy "an empty policy key" rejected '' "$policy_file" 'int a = 1;'
expect_policy "an empty node key" rejected "$policy_file" '' 'int a = 1;'
expect_policy "a line of over 100 columns" rejected "$policy_file" "$policy_file" "$long_line"
expect_policy "two statements on a line" rejected "$policy_file" "$policy_file" 'int a = 1; int b = 2;'
finish
