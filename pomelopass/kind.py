"""Define the kinds of configuration objects and look them up."""

import dataclasses

from .kinds import base
from .kinds import placementrule
from .kinds import pool
from .kinds import service
from .kinds import trainer
from .kinds import weightversion

__all__ = ['Kind', 'UnknownKindError', 'get_all_kinds', 'get_kind_by_name']


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A collection with its model and its references to others."""

    collection: str
    model: type[base.ConfigModel]
    references: tuple[tuple[str, str], ...]


KIND_BY_COLLECTION = {
    kind.collection: kind
    for kind in (
        Kind('services', service.Service, service.REFERENCES),
        Kind('pools', pool.Pool, pool.REFERENCES),
        Kind('trainers', trainer.Trainer, trainer.REFERENCES),
        Kind(
            'weight_versions',
            weightversion.WeightVersion,
            weightversion.REFERENCES,
        ),
        Kind(
            'placement_rules',
            placementrule.PlacementRule,
            placementrule.REFERENCES,
        ),
    )
}


class UnknownKindError(ValueError):
    """Error for an unknown collection name."""


def get_kind_by_name(collection: str) -> Kind:
    """Return the kind of a collection; raise UnknownKindError."""
    config_kind = KIND_BY_COLLECTION.get(collection)
    if config_kind is None:
        raise UnknownKindError(f'No kind is named {collection!r}.')
    return config_kind


def get_all_kinds() -> list[Kind]:
    """Return all kinds in the order of the documentation."""
    return list(KIND_BY_COLLECTION.values())
