"""Translates changes of endpoints and settings, and expired timers, into events of the decision module."""

from __future__ import annotations

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint
from bitternpath.balancer.core.events import EndpointsChanged, SettingsChanged, TimerExpired


def module_event(event: EndpointsChanged | TimerExpired | SettingsChanged) -> m.Event:
    """Return the module's event for an event that concerns no request."""
    match event:
        case EndpointsChanged(listing, kind):
            return m.WorkerList(kind, [_entry(endpoint) for endpoint in listing.members])
        case TimerExpired(label):
            return m.TimerFired(label)
        case SettingsChanged(settings):
            return m.NewSettings(settings)


def _entry(endpoint: Endpoint) -> m.WorkerEntry:
    return m.WorkerEntry(
        endpoint.id,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.state,
        endpoint.size,
        endpoint.up_since,
        endpoint.serves,
        endpoint.slots,
    )
