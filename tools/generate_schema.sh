#!/usr/bin/env bash
# Regenerates the committed code from the schema. Development only:
# pip install grpcio-tools protoc-gen-py protoc-gen-connectrpc
set -eu
cd "$(dirname "$0")/.."
python -m grpc_tools.protoc -Ischema --py_out=src/daleroad --connectrpc_out=src/daleroad schema/daleroad.proto
