#!/bin/sh
# Builds the stand-ins of the cases with the compiler of rust-toolchain.toml, without packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    name=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O "$source" -o "target/review/$name"
done
