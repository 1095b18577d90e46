#!/bin/sh
# Writes the seed inputs of control_fuzz into the folder $1. Each response of a control service is written three times: as a
# bare message, in a gRPC frame and in HTTP/2.
set -eu
cd "$(dirname "$0")/.."
out=$1
mkdir -p "$out"
octal() { printf '\\%03o' "$@"; }
length() { # writes the number $1 as $2 bytes in big-endian order
  n=$1 bytes=''
  for _ in $(seq "$2"); do bytes="$(octal $((n % 256)))$bytes" n=$((n / 256)); done
  printf "$bytes"
}
seed() { # $1: name of the seed; standard input: a DiscoveryResponse in protobuf text format
  protoc -I schema --encode=gorsebeam.xds.v3.DiscoveryResponse gorsebeam/xds/v3/discovery.proto \
    gorsebeam/config/v1/config.proto > "$out/m"
  size=$(wc -c < "$out/m")
  { printf '\000'; cat "$out/m"; } > "$out/$1.bare"
  { printf '\001\000'; length "$size" 4; cat "$out/m"; } > "$out/$1.grpc"
  { printf '\002\000\000\000\004\000\000\000\000\000'
    printf '\000\000\024\001\004\000\000\000\001\210\017\020\020application/grpc'
    length $((size + 5)) 3; printf '\000\000\000\000\000\001\000'; length "$size" 4; cat "$out/m"; } > "$out/$1.http2"
  rm "$out/m"
}
seed contracts <<'T'
version_info: "c1" nonce: "1" type_url: "type.googleapis.com/gorsebeam.config.v1.Contracts"
resources { [type.googleapis.com/gorsebeam.config.v1.Contracts] {
  generation: 1 team { name: "portal" budget { per_second: 3 burst: 2 } class { name: "any" tries: 2 } group: 1 } } }
T
seed members <<'T'
version_info: "m1" nonce: "2" type_url: "type.googleapis.com/gorsebeam.config.v1.Members"
resources { [type.googleapis.com/gorsebeam.config.v1.Members] { generation: 3 rolls_back: 4
  postgres { name: "a" address: "127.0.0.1:1" group: 1 role: PRIMARY } mongo { name: "b" address: "127.0.0.1:2" } } }
T
seed limits <<'T'
version_info: "l1" nonce: "3" type_url: "type.googleapis.com/gorsebeam.config.v1.Limits"
resources { [type.googleapis.com/gorsebeam.config.v1.Limits] { generation: 9 client_connections: 100 } }
T
