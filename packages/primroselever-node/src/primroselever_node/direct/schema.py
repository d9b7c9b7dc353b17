"""The structures and services of ``direct.thrift``."""

from __future__ import annotations

from typing import Any

from . import direct_thrift

schema: Any = direct_thrift
