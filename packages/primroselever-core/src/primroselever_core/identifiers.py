"""Distinct types for identifiers, so that a type checker detects mix-ups."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
GroupName = NewType("GroupName", str)
ServiceName = NewType("ServiceName", str)
WorkspaceName = NewType("WorkspaceName", str)
# A part of a prompt that requests share, as a hexadecimal digest of its content.
PromptPart = NewType("PromptPart", str)
RunId = NewType("RunId", str)

# A random number drawn when a process starts. It distinguishes processes that ran on
# the same VM at the same address.
Incarnation = NewType("Incarnation", int)

# The digest of a manifest, in hexadecimal; it identifies the weights of a version.
WeightsDigest = NewType("WeightsDigest", str)
ChunkDigest = NewType("ChunkDigest", str)

# The digest of a request's service, workspace and body, in hexadecimal.
Fingerprint = NewType("Fingerprint", str)
