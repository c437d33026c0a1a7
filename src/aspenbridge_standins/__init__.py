"""
Stand-ins for the platform's services and for backend servers.

Each stand-in runs as a process of its own.
"""

from __future__ import annotations
