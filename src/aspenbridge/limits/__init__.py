"""Limits that keep retries from prolonging the overload that caused them."""

from __future__ import annotations

from ._retry_budget import RetryBudget

__all__ = ["RetryBudget"]
