#!/bin/sh
# Tests .ci/layout, which has to reject folders that include each other in a cycle.
. "$(dirname "$0")/expect.sh"

# Runs .ci/layout on a tree in which each FILE includes its HEADER. The tree also has include/gorsebeam/router.h, which
# src/router implements.
expect_layout() { # CASE accepted|rejected FILE:HEADER...
  rm -rf "$work/src" "$work/include"
  write include/gorsebeam/types.h ''
  write include/gorsebeam/router.h '#include "gorsebeam/types.h"'
  write src/router/router.cpp '#include "gorsebeam/router.h"'
  name=$1 expected_result=$2
  shift 2
  for include; do
    write "${include%%:*}" "#include \"${include#*:}\""
  done
  expect "$expected_result" "$name" "$ci/layout" "$work"
}

expect_layout "a chain of folders" accepted src/a/a.h:b/b.h src/b/b.h:c/c.h
expect_layout "a file of the same folder" accepted src/a/a.h:a/b.h src/a/b.h:c.h
expect_layout "a cycle of two folders" rejected src/a/a.h:b/b.h src/b/b.h:a/c.h
expect_layout "a cycle of three folders" rejected src/a/a.cpp:b/b.h src/b/b.h:c/c.h src/c/c.cpp:a/a.h
expect_layout "a cycle of folders with digits in their names" rejected src/a/a1.h:b2/b.h src/b2/b.h:a/c.h
expect_layout "types.h included by every folder" accepted src/a/a.h:gorsebeam/types.h src/router/b.h:a/a.h
expect_layout "the public header of a folder that includes the folder" rejected src/a/a.h:gorsebeam/router.h src/router/b.h:a/a.h
expect_layout "a cycle of the library's interface and a folder" rejected include/gorsebeam/b.h:a/a.h src/a/a.h:gorsebeam/types.h
expect_layout "a generated header" accepted src/a/a.h:gorsebeam/config/v1/config.pb.h src/router/b.h:a/a.h
expect_layout "a relative path" rejected src/a/a.h:../b/b.h
finish
