"""The command line of the measurements."""

from __future__ import annotations

from cleo.application import Application

from ._capacity_command import CapacityCommand
from ._failures_command import FailuresCommand
from ._fleet_cost_command import FleetCostCommand
from ._host_profile_command import HostProfileCommand
from ._placement_model_command import PlacementModelCommand
from ._relay_command import RelayCommand
from ._slopes_command import SlopesCommand


def application() -> Application:
    """Return the command line with all of its commands."""
    app = Application("aspenbridge-bench")
    app.add(SlopesCommand())
    app.add(FailuresCommand())
    app.add(CapacityCommand())
    app.add(RelayCommand())
    app.add(FleetCostCommand())
    app.add(HostProfileCommand())
    app.add(PlacementModelCommand())
    return app
