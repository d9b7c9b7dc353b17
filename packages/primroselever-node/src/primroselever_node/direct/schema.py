"""The thrift schema of direct deployments, loaded from ``direct.thrift``."""

from __future__ import annotations

from importlib import resources
from typing import Any

import thriftpy2

schema: Any = thriftpy2.load(
    str(resources.files(__package__) / "direct.thrift"),
    module_name="primroselever_direct_thrift",
)
