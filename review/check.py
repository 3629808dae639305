"""Whether all that a case starts or imports is there: the libraries of the build, and the stand-ins."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

for name in ("h11", "ormsgpack", "plumline.cli", "plumline.lab.engine", "plumline.lab.local"):
    importlib.import_module(name)
