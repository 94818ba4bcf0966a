#!/usr/bin/env bash
# Regenerates src/wire from proto/. Run by hand after a change; the build never runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in etcd/kv etcd/rpc fordwood/configuration fordwood/control; do
    protoc -Iproto --cpp_out=src/wire "proto/${it}.proto"
done
for it in etcd/rpc fordwood/control; do
    protoc -Iproto --grpc_out=src/wire --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
        "proto/${it}.proto"
done
