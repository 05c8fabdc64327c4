#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the Go of the project and no network.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
