from __future__ import annotations

from hypothesis import given, strategies as st

from primroselever_core.profiles.patch import apply_patch, make_patch

byte_ranges = st.lists(st.sampled_from([b"a", b"b", b"ab", b"line\n"])).map(b"".join)


@given(byte_ranges, byte_ranges)
def test_a_patch_produces_the_new_value(old: bytes, new: bytes) -> None:
    assert apply_patch(old, make_patch(old, new)) == new


@given(byte_ranges, byte_ranges, byte_ranges)
def test_a_patch_applied_to_another_value_is_rejected_or_correct(
    old: bytes, new: bytes, held: bytes
) -> None:
    assert apply_patch(held, make_patch(old, new)) in (new, None)


def test_a_patch_contains_only_the_changed_line() -> None:
    old = b"\n".join(b"profile %d" % number for number in range(10_000))
    patch = make_patch(old, old.replace(b"profile 5000", b"profile five"))
    assert len(patch.middle) < 20
