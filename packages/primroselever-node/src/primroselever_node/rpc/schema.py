"""The thrift schema, loaded once from the file in this package."""

from __future__ import annotations

from importlib import resources
from typing import Any

import thriftpy2

schema: Any = thriftpy2.load(
    str(resources.files(__package__) / "primroselever.thrift"),
    module_name="primroselever_thrift",
)
