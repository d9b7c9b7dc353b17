"""The structures and services of ``primroselever.thrift``."""

from __future__ import annotations

from typing import Any

from . import primroselever_thrift

schema: Any = primroselever_thrift
