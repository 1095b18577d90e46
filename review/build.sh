#!/bin/sh
# Builds the stand-ins of the cases, with the compiler of the deploy build and no library.
set -e
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o build/rig standins/*.cpp
