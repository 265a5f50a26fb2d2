"""Values and bytes that no correct peer sends, for tests of the codecs."""

import math

import hypothesis
from hypothesis import strategies as st
import msgspec

from gypsumbridge_wire import peer

# Deterministic examples, so that CI has the same result on every run.
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
NUMBERS = st.sampled_from([0, 1, -1, 2**31, 2**63, 2**64 - 1, -(2**63)])
FLOATS = st.sampled_from([0.0, -1.0, 0.5, 1e308, math.nan, math.inf])
TEXTS = st.sampled_from(['', 'a', '\r\nX: y', '\x00', 'x' * 5_000, '127.1:0'])
SCALARS = st.one_of(
    st.none(), st.booleans(), NUMBERS, FLOATS, TEXTS, st.binary(max_size=9)
)
JSON = st.recursive(
    st.one_of(st.none(), st.integers(), st.floats(), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=9), inner, max_size=3),
    ),
    max_leaves=9,
)


def messages_of(kind):
    """Return a strategy for a message type that includes invalid values."""
    fields = msgspec.inspect.type_info(kind).fields
    return st.builds(kind, **{f.name: _values(f.type) for f in fields})


def _values(info):
    match info:
        case msgspec.inspect.IntType():
            return st.one_of(st.integers(0, 9), NUMBERS)
        case msgspec.inspect.FloatType():
            return FLOATS
        case msgspec.inspect.StrType():
            return st.one_of(st.just('127.0.0.1:1'), TEXTS)
        case msgspec.inspect.BytesType():
            return st.binary(max_size=20)
        case msgspec.inspect.BoolType():
            return st.booleans()
        case msgspec.inspect.EnumType():
            return st.sampled_from(list(info.cls))
        case msgspec.inspect.NoneType():
            return st.none()
        case msgspec.inspect.UnionType():
            return st.one_of([_values(kind) for kind in info.types])
        case msgspec.inspect.VarTupleType():
            return st.lists(_values(info.item_type), max_size=3).map(tuple)
        case msgspec.inspect.DataclassType():
            return messages_of(info.cls)
    raise TypeError(f'no strategy for {info}')


@st.composite
def mutated(draw, originals):
    """Return a strategy for bytes with a piece replaced or removed."""
    data = draw(originals)
    start = draw(st.integers(0, len(data)))
    end = draw(st.integers(start, len(data)))
    return data[:start] + draw(st.binary(max_size=8)) + data[end:]


def frames():
    """Return a strategy for valid, mutated and random frames."""
    names = [kind.__name__.encode() for kind in peer.MESSAGE_TYPES]
    name = st.sampled_from([*names, b'None', b'\xff'])
    loose = st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=4))
    packed = st.one_of(loose, st.dictionaries(TEXTS, loose, max_size=4))
    bodies = st.one_of(st.binary(), packed.map(msgspec.msgpack.encode))
    built = st.one_of([messages_of(kind) for kind in peer.MESSAGE_TYPES])
    valid = built.map(peer.encode)
    changed = valid.flatmap(
        lambda f: mutated(st.just(f[2])).map(lambda body: [*f[:2], body])
    )
    return st.one_of(
        st.lists(st.binary(max_size=9), max_size=5),
        st.tuples(st.sampled_from([b'1', b'2', b'']), name, bodies).map(list),
        valid,
        changed,
    )
