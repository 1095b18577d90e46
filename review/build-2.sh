#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, into build-review-2. Needs g++ only.
set -eu
cd "$(dirname "$0")/.."
rm -rf build-review-2 # no program of an earlier build may pass for one of this
mkdir build-review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build-review-2/$name" "$source" &
done
wait
for source in review/standins-2/*.cpp; do
  [ -x "build-review-2/$(basename "$source" .cpp)" ]
done
