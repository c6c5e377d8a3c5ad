#!/bin/bash
exec "$(dirname "$0")/../run-case.sh" 3 garbage
