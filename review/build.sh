#!/bin/sh
# Builds the stand-ins of the cases, with the compiler alone: they use only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  rustc --edition 2024 -C opt-level=1 --crate-name "case_$number" -o "target/review/case-$number" "$folder/case.rs"
done
