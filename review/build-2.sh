#!/bin/sh
# Builds the stand-ins of the cases 4 to 6 and of more-2 into target/review-2, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
