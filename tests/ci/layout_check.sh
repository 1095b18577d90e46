#!/bin/sh
# .ci/layout rejects folders that include each other in a circle.
. "$(dirname "$0")/expect.sh"

# CASE accepted|rejected FILE:HEADER...: a tree of these includes, besides router.h, which src/router implements.
layout() {
  rm -rf "$work/src" "$work/include"
  write include/gorsebeam/types.h ''
  write include/gorsebeam/router.h '#include "gorsebeam/types.h"'
  write src/router/router.cpp '#include "gorsebeam/router.h"'
  name=$1 wanted=$2
  shift 2
  for include; do
    write "${include%%:*}" "#include \"${include#*:}\""
  done
  expect "$wanted" "$name" "$ci/layout" "$work"
}

layout "a chain of folders" accepted src/a/a.h:b/b.h src/b/b.h:c/c.h
layout "a file of the same folder" accepted src/a/a.h:a/b.h src/a/b.h:c.h
layout "two folders" rejected src/a/a.h:b/b.h src/b/b.h:a/c.h
layout "three folders" rejected src/a/a.cpp:b/b.h src/b/b.h:c/c.h src/c/c.cpp:a/a.h
layout "a digit in a name" rejected src/a/a1.h:b2/b.h src/b2/b.h:a/c.h
layout "types by all" accepted src/a/a.h:gorsebeam/types.h src/router/b.h:a/a.h
layout "the interface of what includes the folder" rejected src/a/a.h:gorsebeam/router.h src/router/b.h:a/a.h
layout "the library's interface and a folder" rejected include/gorsebeam/b.h:a/a.h src/a/a.h:gorsebeam/types.h
layout "a generated header" accepted src/a/a.h:gorsebeam/config/v1/config.pb.h src/router/b.h:a/a.h
layout "a relative path" rejected src/a/a.h:../b/b.h
finish
