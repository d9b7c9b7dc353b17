"""
HTTP stand-ins for the platform and the back ends.

Each is a WSGI application. ``GET /control`` returns its counters and faults as
JSON, and ``POST /control`` sets faults. The other paths follow the protocol that
docs/platform.md describes.
"""
