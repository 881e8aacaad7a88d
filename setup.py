"""The compiled build, which is wanted only where CLOVERHOLD_COMPILE=1: all else stands in pyproject.toml.

The decision module is then compiled with mypyc from the very sources that are otherwise interpreted. Where there is
no C compiler the extensions are left out with a warning, and the sources beside them are used.
"""

import os
from glob import glob

from setuptools import Extension, setup


def extensions() -> list[Extension]:
    """The compiled modules; none where mypyc is not there yet: setup_requires then asks for it."""
    try:
        from mypyc.build import mypycify
    except ImportError:
        return []
    sources = [path for path in sorted(glob("cloverhold/decision/*.py")) if not path.endswith("__init__.py")]
    found: list[Extension] = mypycify(["--config-file=", *sources], opt_level="2")
    for extension in found:
        extension.optional = True
    return found


if os.environ.get("CLOVERHOLD_COMPILE") == "1":
    setup(setup_requires=["mypy==2.4.1"], ext_modules=extensions())
else:
    setup()
