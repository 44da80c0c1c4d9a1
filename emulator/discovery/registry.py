"""The endpoint lists of all services, each with a generation for every change. No I/O and no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from testbed.discovery_wire import Row, encode_list

CHANGE_LOG_ROWS = 512  # changed rows that are remembered: whoever is further behind gets the full list


class ListResponse(NamedTuple):
    """The response to a poll: the list's generation, whether all entries are in it, and the body."""

    generation: int
    full: bool
    body: bytes


class LoggedChange(NamedTuple):
    """A changed row and the generation that it came with."""

    generation: int
    row: Row


class ServiceList:
    """One service's endpoints with a generation for each change.

    Args:
        rows: the endpoints of generation 1.
    """

    def __init__(self, rows: Sequence[Row]) -> None:
        self.generation = 1
        self.rows: dict[str, Row] = {row["instanceId"]: row for row in rows}
        self.log: deque[LoggedChange] = deque(maxlen=CHANGE_LOG_ROWS)
        self._responses: dict[int | None, ListResponse] = {}  # of this generation, by the poll's generation

    def change(self, rows: Sequence[Row]) -> int:
        """Take new rows, all under one new generation; one whose lifecycle is `gone` leaves the list."""
        self.generation += 1
        for row in rows:
            if row["lifecycle"] == "gone":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
            self.log.append(LoggedChange(self.generation, row))
        self._responses.clear()
        return self.generation

    def respond(self, after: int | None) -> ListResponse:
        """Return the changes after that generation, or the full list where those are not remembered.

        A response is encoded once for all sidecars that poll for the same.
        """
        response = self._responses.get(after)
        if response is None:
            full = after is None or not self._remembers(after)
            rows = list(self.rows.values()) if full or after is None else self._changed_after(after)
            body = encode_list(self.generation, full, rows)
            response = self._responses[after] = ListResponse(self.generation, full, body)
        return response

    def _remembers(self, after: int) -> bool:
        """Whether the log has every row that changed after that generation."""
        if after >= self.generation:
            return after == self.generation
        # The oldest generation that is left may have lost some of its rows to the log's bound.
        full = len(self.log) == self.log.maxlen
        oldest = self.log[0].generation + 1 if full else 2
        return after >= oldest - 1

    def _changed_after(self, after: int) -> list[Row]:
        """The last state of each endpoint that changed."""
        changed = (change.row for change in self.log if change.generation > after)
        return list({row["instanceId"]: row for row in changed}.values())


class Registry:
    """The lists of all services.

    Args:
        services: the endpoints of each service at generation 1.
    """

    def __init__(self, services: Mapping[str, Sequence[Row]]) -> None:
        self.services = {name: ServiceList(rows) for name, rows in services.items()}

    def change(self, service: str, rows: Sequence[Row]) -> int:
        """Take the new rows of a service and return its new generation."""
        return self.services[service].change(rows)

    def respond(self, service: str, after: int | None) -> ListResponse:
        """Return what a poll for that service gets."""
        return self.services[service].respond(after)

    def has_changed(self, service: str, after: int) -> bool:
        """Whether a watch from that generation is answered at once.

        A generation ahead of the list's is of an earlier incarnation of discovery: it gets the full list.
        """
        return after != self.services[service].generation
