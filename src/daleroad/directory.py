"""Lookups in the catalog: stewards, a service's upstreams, organisations and routes.

Does no I/O.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from daleroad.catalog import Catalog
from daleroad.records import EntryMember, Organisation, Route, Split, State, Upstream


def get_weight(*parts: str) -> int:
    """Return the rendezvous hashing weight of a combination of names.

    :param parts: the names.
    """
    return xxh3_64_intdigest("\x00".join(parts).encode())


def pick_steward(entries: Iterable[EntryMember], upstream: Upstream) -> EntryMember | None:
    """Return the entry that admits requests to an upstream, chosen by rendezvous hashing.

    Entries in the upstream's availability zone are preferred.

    :param entries: the membership.
    :param upstream: the upstream.
    """
    return Stewards(entries).pick(upstream)


class Stewards:
    """The serving entries, which may be stewards, by availability zone.

    :param entries: the membership.
    """

    def __init__(self, entries: Iterable[EntryMember]) -> None:
        self._serving = [entry for entry in entries if entry.state is State.SERVING]
        self._by_zone: dict[str, list[EntryMember]] = {}
        for entry in self._serving:
            self._by_zone.setdefault(entry.zone, []).append(entry)

    def pick(self, upstream: Upstream) -> EntryMember | None:
        """Return the steward of an upstream, or None if no entry serves.

        :param upstream: the upstream.
        """
        choices = self._by_zone.get(upstream.zone) or self._serving
        return max(choices, key=lambda e: get_weight(e.name, upstream.name), default=None)


def pick_split(splits: tuple[Split, ...], sticky: str) -> str:
    """Return a route's model version, drawn by weight; always the same for the same key.

    :param splits: the versions with weights.
    :param sticky: key of the choice.
    """
    total = sum(split.weight for split in splits)
    remaining_weight = get_weight("split", sticky) / 2**64 * total
    for split in splits:
        remaining_weight -= split.weight
        if remaining_weight < 0:
            return split.model
    return splits[-1].model if splits else ""


class Directory:
    """Index of a catalog's membership, rebuilt after it changed.

    :param catalog: the catalog.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._indexed_version = (-1, -1)
        self._candidates = Stewards(())
        self._by_service: dict[str, list[Upstream]] = {}
        self._stewards: dict[str, EntryMember | None] = {}

    def refresh(self) -> None:
        """Rebuild the index if the membership changed."""
        current = (self.catalog.epoch, self.catalog.upstreams_revision)
        if self._indexed_version == current:
            return
        self._indexed_version = current
        self._candidates = Stewards(self.catalog.entries.values())
        self._stewards = {}
        self._by_service = {}
        for upstream in self.catalog.upstreams.values():
            self._by_service.setdefault(upstream.service, []).append(upstream)

    def get_steward(self, upstream: str) -> EntryMember | None:
        """Return the steward of an upstream, or None if the upstream is not in the membership.

        :param upstream: its name.
        """
        self.refresh()
        if upstream not in self._stewards:
            member = self.catalog.upstreams.get(upstream)
            self._stewards[upstream] = self.pick_steward_of(member) if member else None
        return self._stewards[upstream]

    def pick_steward_of(self, upstream: Upstream) -> EntryMember | None:
        """Return the steward of an upstream, whether or not that is in the membership.

        :param upstream: the upstream.
        """
        self.refresh()
        return self._candidates.pick(upstream)

    def find_organisation(self, token_hash: str) -> Organisation | None:
        """Return the organisation with a token hash.

        :param token_hash: SHA-256 of the token in hex.
        """
        return self.catalog.organisations_by_token_hash.get(token_hash)

    def get_route(self, name: str, partner: str) -> Route | None:
        """Return a partner's route, or None if it has none of that name.

        :param name: the route.
        :param partner: the partner.
        """
        route = self.catalog.get("Route", name)
        return route if isinstance(route, Route) and route.partner == partner else None

    def list_upstreams(self, service: str, model: str) -> list[Upstream]:
        """Return the serving upstreams of a service that have a model version loaded.

        :param service: the service.
        :param model: the model version, or empty for any.
        """
        self.refresh()
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if upstream.state is State.SERVING and (not model or model in upstream.models)
        ]
