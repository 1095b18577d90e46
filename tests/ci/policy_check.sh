#!/bin/sh
# .ci/policy rejects a deploy file that names what does not exist, and files of decisions that are not in form.
. "$(dirname "$0")/expect.sh"

# CASE accepted|rejected POLICY NODE LINE: the two keys, and a line of src/router/a.cpp.
policy() {
  write deploy/balancer.toml "policy = [$3]" "node = [$4]"
  write src/router/a.cpp "$5"
  expect "$2" "$1" "$ci/policy" "$work"
}

cp "$ci/../.clang-format" "$work"
file='"src/router/a.cpp"'
long="// $(printf '%098d' 0)"
policy "files as named" accepted "$file" "$file, \"src/router\"" 'int a = 1;'
policy "a decision's file that is missing" rejected "$file, \"src/router/b.cpp\"" "$file" 'int a = 1;'
policy "a decision's file that is a folder" rejected '"src/router"' "$file" 'int a = 1;'
policy "a part of the node that is missing" rejected "$file" "$file, \"src/net\"" 'int a = 1;'
policy "no file named" rejected '' "$file" 'int a = 1;'
policy "no part named" rejected "$file" '' 'int a = 1;'
policy "a line of over 100 columns" rejected "$file" "$file" "$long"
policy "two statements on a line" rejected "$file" "$file" 'int a = 1; int b = 2;'
finish
