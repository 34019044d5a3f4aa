#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are plain Python, so it checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - rig2.py engines2.py [4-8]/*.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
END
