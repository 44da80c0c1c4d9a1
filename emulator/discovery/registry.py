"""The endpoint lists of all services. Each change creates a new generation of a list. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from testbed.discovery_wire import Row, encode_list

CHANGE_LOG_ROWS = 512  # changed rows that are kept; a poll from an older generation gets the full list


class ListResponse(NamedTuple):
    """The response to a poll: the list's generation, whether it holds the full list, and the body."""

    generation: int
    full: bool
    body: bytes


class LoggedChange(NamedTuple):
    """A changed row and the generation that it belongs to."""

    generation: int
    row: Row


class ServiceList:
    """The endpoint list of one service, with a generation for each change.

    Args:
        rows: the endpoints of generation 1.
    """

    def __init__(self, rows: Sequence[Row]) -> None:
        self.generation = 1
        self.rows: dict[str, Row] = {row["instanceId"]: row for row in rows}
        self.change_log: deque[LoggedChange] = deque(maxlen=CHANGE_LOG_ROWS)
        self._responses: dict[int | None, ListResponse] = {}  # encoded responses, by the poll's generation

    def change(self, rows: Sequence[Row]) -> int:
        """Apply new rows as one new generation. A row whose lifecycle is `gone` is removed from the list."""
        self.generation += 1
        for row in rows:
            if row["lifecycle"] == "gone":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
            self.change_log.append(LoggedChange(self.generation, row))
        self._responses.clear()
        return self.generation

    def respond(self, after: int | None) -> ListResponse:
        """Return the changes after generation `after`, or the full list if the log no longer holds them.

        A response is encoded once for all sidecars that poll from the same generation.
        """
        response = self._responses.get(after)
        if response is None:
            full = after is None or not self._log_covers(after)
            rows = list(self.rows.values()) if full or after is None else self._changed_after(after)
            body = encode_list(self.generation, full, rows)
            response = self._responses[after] = ListResponse(self.generation, full, body)
        return response

    def _log_covers(self, after: int) -> bool:
        """Return whether the change log holds every row that changed after generation `after`."""
        if after >= self.generation:
            return after == self.generation
        # If the change log is full, rows of its oldest generation may have been dropped.
        full = len(self.change_log) == self.change_log.maxlen
        oldest = self.change_log[0].generation + 1 if full else 2
        return after >= oldest - 1

    def _changed_after(self, after: int) -> list[Row]:
        """Return the last state of each endpoint that changed."""
        changed = (change.row for change in self.change_log if change.generation > after)
        return list({row["instanceId"]: row for row in changed}.values())


class Registry:
    """The lists of all services.

    Args:
        services: the endpoints of each service at generation 1.
    """

    def __init__(self, services: Mapping[str, Sequence[Row]]) -> None:
        self.services = {name: ServiceList(rows) for name, rows in services.items()}

    def change(self, service: str, rows: Sequence[Row]) -> int:
        """Apply new rows to the list of a service, and return its new generation."""
        return self.services[service].change(rows)

    def respond(self, service: str, after: int | None) -> ListResponse:
        """Return the response to a poll for a service's list."""
        return self.services[service].respond(after)

    def has_changed(self, service: str, after: int) -> bool:
        """Return whether a watch from generation `after` gets a response at once.

        A generation above the list's comes from an earlier incarnation of discovery: it gets the full list.
        """
        return after != self.services[service].generation
