"""What the report of a failed test says about pauses of the process."""

from __future__ import annotations

import gc

from bench.process_pauses import ProcessPauses


def test_the_latest_sample_is_reported() -> None:
    pauses = ProcessPauses()
    for late_s in (0.002, 0.7, 0.1):
        pauses.observe_sample(10.0, 10.0 + late_s)
    assert str(pauses) == "not running 0.700 s, garbage collection 0.000 s"


def test_garbage_collections_are_observed_until_a_reset() -> None:
    pauses = ProcessPauses()
    gc.callbacks.append(pauses.observe_collection)
    try:
        gc.collect()
    finally:
        gc.callbacks.remove(pauses.observe_collection)
    assert pauses.collection_s > 0.0
    pauses.reset()
    assert str(pauses) == "not running 0.000 s, garbage collection 0.000 s"
