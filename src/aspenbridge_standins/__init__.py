"""Stand-ins for the platform and the backend servers, each a process."""

from __future__ import annotations
