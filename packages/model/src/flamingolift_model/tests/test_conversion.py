"""Conversion of records: every rule by a case, and all classes against a reference."""

import copy
import enum
import importlib
import math
import re
import unicodedata

import hypothesis.strategies as st
import msgpack
import pytest
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.conversion import MAX_DEPTH, MAX_UNKNOWN_FIELDS
from flamingolift_model.encodable import MAX_INT, MIN_INT
from flamingolift_model.record import MISSING, Field, Record
from hypothesis import given, settings

ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}|(?=.*:.*:)[0-9a-f:.]+", re.ASCII)
"""Shapes of the addresses that the strategies draw."""
MODULES = (
    "plan",
    "policy",
    "peer",
    "settings",
    "routing",
    "frontsettings",
    "viewupdate",
)


class Leaf(Record):
    __slots__ = ("key", "ratio")
    FIELDS = (
        Field("key", "str", min=1, max=4),
        Field("ratio", "float", default=0.5, min=0.0, max=1.0),
    )

    def __init__(self, *, key, ratio=0.5):
        super().__init__()
        self.key = key
        self.ratio = ratio


class Sample(Record):
    __slots__ = (
        "amount",
        "child",
        "count",
        "data",
        "flag",
        "grid",
        "leaf",
        "leaves",
        "mode",
        "names",
        "note",
        "rows",
        "secret",
        "title",
        "tree",
    )
    FIELDS = (
        Field("count", "int", min=-2, max=5),
        Field("title", "str", default="t", min=1, max=4),
        Field("amount", "float", default=1.0),
        Field("flag", "bool", default=False),
        Field("data", "bytes", default=b"", max=3),
        Field("mode", "str", default="on", enum=("on", "off")),
        Field("note", "str", optional=True, max=4),
        Field("secret", "str", default="s", secret=True),
        Field("names", "list[str]", default=["n"], min=1, max=2),
        Field("grid", "list[list[int]]", default=[], max=2),
        Field("rows", "map[map[map[float]]]", default={}, max=2),
        Field("leaves", "list[model.Leaf]", default=[], max=3),
        Field("tree", "map[list[model.Leaf]]", default={}, max=2),
        Field("leaf", "model.Leaf", optional=True),
        Field("child", "Sample", optional=True),
    )

    def __init__(
        self,
        *,
        count,
        title="t",
        amount=1.0,
        flag=False,
        data=b"",
        mode="on",
        note=None,
        secret="s",
        names=None,
        grid=None,
        rows=None,
        leaves=None,
        tree=None,
        leaf=None,
        child=None,
    ):
        super().__init__()
        self.count = count
        self.title = title
        self.amount = amount
        self.flag = flag
        self.data = data
        self.mode = mode
        self.note = note
        self.secret = secret
        self.names = ["n"] if names is None else names
        self.grid = [] if grid is None else grid
        self.rows = {} if rows is None else rows
        self.leaves = [] if leaves is None else leaves
        self.tree = {} if tree is None else tree
        self.leaf = leaf
        self.child = child


class Empty(Record):
    __slots__ = ()


class Wider(Leaf):
    __slots__ = ("extra",)
    FIELDS = (*Leaf.FIELDS, Field("extra", "int", default=0))

    def __init__(self, *, key, ratio=0.5, extra=0):
        super().__init__(key=key, ratio=ratio)
        self.extra = extra


class Labels(Record):
    __slots__ = ("labels",)
    FIELDS = (Field("labels", "list[str]", default=["a"], optional=True),)

    def __init__(self, *, labels=None):
        super().__init__()
        self.labels = ["a"] if labels is None else labels


class Text(str):
    __slots__ = ()


class Number(enum.IntEnum):
    TWO = 2


Sample.REFERENCES = {"model.Leaf": Leaf, "Sample": Sample}


def generated_classes():
    modules = [importlib.import_module(f"flamingolift_model.{m}") for m in MODULES]
    values = [getattr(m, name) for m in modules for name in m.__all__]
    return [v for v in values if isinstance(v, type)]


CLASSES = [Sample, Leaf, Empty, Wider, *generated_classes()]


# A direct reading of the rules, with the path and the fault of each value.


def reference_faults(cls, value, strict, path="", depth=0):
    if not isinstance(value, dict):
        return [f"{path or 'document'}: must be a table"]
    if depth > MAX_DEPTH:
        return [f"{path or 'document'}: is nested too deeply"]
    prefix = f"{path}." if path else ""
    faults = []
    for f in cls.FIELDS:
        if f.name in value:
            faults += reference_field_faults(
                cls, f, f.type, value[f.name], strict, prefix + f.name, depth
            )
        elif f.default is MISSING and not f.optional:
            faults.append(f"{prefix}{f.name}: is required")
    unknown = [k for k in value if k not in [f.name for f in cls.FIELDS]]
    if strict:
        for name in unknown:
            faults.append(f"{prefix}{name}" or "document")
            faults[-1] += ": is not a known field"
    elif len(unknown) > MAX_UNKNOWN_FIELDS:
        faults.append(f"{path or 'document'}: has too many unknown fields")
    else:
        odd = [name for name in unknown if not is_packable(value[name])]
        paths = [f"{prefix}{name}" or "document" for name in odd]
        faults += [f"{found}: cannot be encoded again" for found in paths]
    return faults


def is_packable(value):
    """Returns whether msgpack can encode a value."""
    try:
        msgpack.packb(value)
    except (OverflowError, UnicodeEncodeError, ValueError):
        return False
    return True


def reference_field_faults(cls, f, type_name, value, strict, path, depth):
    if value is None and f.optional and type_name == f.type:
        return []
    if type_name in cls.REFERENCES:
        return reference_faults(
            cls.REFERENCES[type_name], value, strict, path, depth + 1
        )
    if "[" not in type_name:
        return reference_scalar_faults(f, type_name, value, path)
    kind, inner = type_name[:-1].split("[", 1)
    if not isinstance(value, {"list": list, "map": dict}[kind]):
        return [f"{path}: must be a {'list' if kind == 'list' else 'table'}"]
    least = f.min if type_name == f.type else None
    if least is not None and len(value) < least:
        return [f"{path}: has {len(value)} entries; at least {least} is required"]
    if f.max is not None and len(value) > f.max:
        return [f"{path}: has {len(value)} entries; at most {f.max} is allowed"]
    if kind == "list":
        items = [(f"{path}[{i}]", item) for i, item in enumerate(value)]
    else:
        items = [(f"{path}.{key}", item) for key, item in value.items()]
    faults = []
    for number, (item_path, item) in enumerate(items):
        found = reference_field_faults(
            cls, f, inner, item, strict, item_path, depth + 1
        )
        if kind == "map" and not found and not is_text(list(value)[number]):
            found = [f"{item_path}: must be named by Unicode text"]
        faults += found
    return faults


def is_line(value):
    """Returns whether a text has no separators, except inner spaces, or controls."""
    inner = value.replace(" ", "")
    kinds = {unicodedata.category(c)[0] for c in inner}
    return not kinds & {"C", "Z"} and value == value.strip(" ")


def is_text(value):
    return isinstance(value, str) and is_packable(value)


def reference_scalar_faults(f, type_name, value, path):
    accepted = {
        "int": isinstance(value, int) and not isinstance(value, bool),
        "float": isinstance(value, int | float) and not isinstance(value, bool),
        "str": isinstance(value, str),
        "bytes": isinstance(value, bytes),
        "bool": isinstance(value, bool),
    }
    if not accepted[type_name]:
        return [f"{path}: must be of type {type_name}"]
    if type_name != f.type:
        f = Field(f.name, type_name)
    if f.enum and value not in f.enum:
        return [f"{path}: must be one of {', '.join(f.enum)}"]
    if type_name == "float" and not math.isfinite(value):
        return [f"{path}: must be a finite number"]
    if type_name == "bool":
        return []
    if type_name == "int" and not is_packable(value):
        return [f"{path}: must fit in 64 bits"]
    phrase, size = "is", float(value) if type_name == "float" else value
    if type_name in ("str", "bytes"):
        phrase, size = "has length", len(value)
    if f.min is not None and size < f.min:
        return [f"{path}: {phrase} {size}; at least {f.min} is required"]
    if f.max is not None and size > f.max:
        return [f"{path}: {phrase} {size}; at most {f.max} is allowed"]
    if f.format == "address" and not ADDRESS.fullmatch(value):
        return [f"{path}: must be a numeric IP address"]
    if type_name == "str" and not is_packable(value):
        return [f"{path}: must be Unicode text"]
    if f.format == "line" and not is_line(value):
        return [f"{path}: must be printable, without spaces at its ends"]
    return []


def reference_plain(cls, value):
    """Returns a valid document as it is written back: complete, floats as floats."""
    plain = {}
    for f in cls.FIELDS:
        default = None if f.default is MISSING else f.default
        item = value.get(f.name, default)
        plain[f.name] = reference_item(cls, f.type, item) if f.name in value else item
    plain.update((k, v) for k, v in value.items() if k not in plain)
    return plain


def reference_item(cls, type_name, value):
    if value is None:
        return None
    if type_name in cls.REFERENCES:
        return reference_plain(cls.REFERENCES[type_name], value)
    if type_name.startswith("list["):
        return [reference_item(cls, type_name[5:-1], item) for item in value]
    if type_name.startswith("map["):
        return {k: reference_item(cls, type_name[4:-1], v) for k, v in value.items()}
    return float(value) if type_name == "float" else value


# Documents of any class: valid by its fields, then damaged.

junk = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**64), 2**64)
    | st.integers(-3, 6)
    | st.floats()
    | st.text(max_size=6)
    | st.binary(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=4)
    ),
    max_leaves=6,
)
MAX_LENGTH = 3
MAX_NESTING = 2


@st.composite
def documents(draw, cls, damage, nesting=0):
    value = {}
    for f in cls.FIELDS:
        required = f.default is MISSING and not f.optional
        if not required and draw(st.booleans()):
            continue
        if damage and draw(st.integers(0, 19)) == 0:
            continue
        value[f.name] = draw(values(cls, f, f.type, damage, nesting))
    if draw(st.integers(0, 3)) == 0:
        known = {f.name for f in cls.FIELDS}
        unknown = st.text(max_size=3).filter(lambda name: name not in known)
        kept = junk if damage else junk.filter(is_packable)
        value.update(draw(st.dictionaries(unknown, kept, max_size=2)))
    if draw(st.booleans()):
        value = dict(draw(st.permutations(list(value.items()))))
    return value


@st.composite
def values(draw, cls, f, type_name, damage, nesting):
    if damage and draw(st.integers(0, 9)) == 0:
        return draw(junk)
    if f.optional and (nesting > MAX_NESTING or draw(st.booleans())):
        return None
    if type_name in cls.REFERENCES:
        return draw(documents(cls.REFERENCES[type_name], damage, nesting + 1))
    if "[" not in type_name:
        return draw(scalars(f, type_name, damage))
    kind, inner = type_name[:-1].split("[", 1)
    least = f.min or 0 if type_name == f.type else 0
    most = MAX_LENGTH if f.max is None else min(f.max, max(least, MAX_LENGTH))
    if damage and f.max is not None:
        most = min(f.max + 1, most + 1)
    items = values(cls, Field("", inner, max=f.max), inner, damage, nesting)
    if kind == "list":
        return draw(st.lists(items, min_size=least, max_size=most))
    keys = st.text(max_size=3)
    return draw(st.dictionaries(keys, items, min_size=least, max_size=most))


def scalars(f, type_name, damage):
    bounded = f.type == type_name and f.name
    low, high = (f.min, f.max) if bounded else (None, None)
    if bounded and f.enum:
        return st.sampled_from(f.enum)
    if bounded and f.format == "address":
        return st.ip_addresses().map(str)
    if type_name == "bool":
        return st.booleans()
    if type_name == "int":
        numbers = st.integers(
            MIN_INT if low is None else low, MAX_INT if high is None else high
        )
        edges = st.sampled_from([n for n in (low, high) if n is not None] or [0])
        return numbers | edges.map(lambda n: n + 1) if damage else numbers
    if type_name == "float":
        numbers = st.floats(low, high, allow_nan=False, allow_infinity=False)
        whole = st.integers(
            math.ceil(-(2**53) if low is None else low),
            math.floor(2**53 if high is None else high),
        )
        return numbers | whole
    if bounded and f.format == "line":
        return st.text("ab \xe9", min_size=1, max_size=4).filter(is_line)
    texts = st.text if type_name == "str" else st.binary
    least = low or 0
    most = least + MAX_LENGTH if high is None else min(high, least + MAX_LENGTH)
    return texts(min_size=max(0, least - damage), max_size=most + damage)


def cases(damage):
    return st.sampled_from(CLASSES).flatmap(
        lambda cls: st.tuples(st.just(cls), documents(cls, damage))
    )


def assert_as_reference(cls, value, strict):
    before = copy.deepcopy(value)
    faults = reference_faults(cls, value, strict)
    built = from_plain(cls, value, strict=strict)
    assert repr(value) == repr(before)
    if faults:
        assert built.error == [Fault(ResultCode.POLICY_FIELD, text) for text in faults]
        assert [f.retry_after_ms for f in built.error] == [0] * len(faults)
        return
    assert type(built.ok) is cls
    assert repr(to_plain(built.ok)) == repr(reference_plain(cls, value))


@given(cases(damage=0))
@settings(max_examples=150)
def test_valid_document_is_kept(case):
    cls, value = case
    assert reference_faults(cls, value, strict=False) == []
    assert_as_reference(cls, value, strict=False)
    record = from_plain(cls, value).ok
    present = [f.name for f in cls.FIELDS if f.name in value]
    made = cls(**{name: getattr(record, name) for name in present})
    made.unknown = record.unknown
    assert repr(to_plain(made)) == repr(to_plain(record))
    again = from_plain(cls, to_plain(record)).ok
    assert again == record
    assert again.unknown == record.unknown
    assert repr(again) == repr(record)


@given(cases(damage=1), st.booleans())
@settings(max_examples=250)
def test_damaged_document_has_the_faults_of_the_reference(case, strict):
    assert_as_reference(*case, strict)


@given(st.sampled_from(CLASSES), junk, st.booleans())
def test_any_value_has_the_faults_of_the_reference(cls, value, strict):
    assert_as_reference(cls, value, strict)


NAN, INF = float("nan"), float("inf")


@pytest.mark.parametrize(
    ("field", "value", "text"),
    [
        ("count", None, "must be of type int"),
        ("count", True, "must be of type int"),
        ("count", 1.0, "must be of type int"),
        ("count", "1", "must be of type int"),
        ("count", -3, "is -3; at least -2 is required"),
        ("count", 6, "is 6; at most 5 is allowed"),
        ("title", b"a", "must be of type str"),
        ("title", "", "has length 0; at least 1 is required"),
        ("title", "abcde", "has length 5; at most 4 is allowed"),
        ("amount", False, "must be of type float"),
        ("amount", "1", "must be of type float"),
        ("amount", NAN, "must be a finite number"),
        ("amount", INF, "must be a finite number"),
        ("amount", -INF, "must be a finite number"),
        ("flag", 1, "must be of type bool"),
        ("flag", None, "must be of type bool"),
        ("data", "a", "must be of type bytes"),
        ("data", bytearray(b"a"), "must be of type bytes"),
        ("data", b"abcd", "has length 4; at most 3 is allowed"),
        ("mode", "", "must be one of on, off"),
        ("mode", 1, "must be of type str"),
        ("note", "abcde", "has length 5; at most 4 is allowed"),
        ("note", 1, "must be of type str"),
        ("names", None, "must be a list"),
        ("names", ("a",), "must be a list"),
        ("names", {}, "must be a list"),
        ("names", [], "has 0 entries; at least 1 is required"),
        ("names", [1, 2, 3], "has 3 entries; at most 2 is allowed"),
        ("rows", [], "must be a table"),
        ("rows", {"a": 1, "b": 1, "c": 1}, "has 3 entries; at most 2 is allowed"),
        ("leaf", [], "must be a table"),
        ("leaves", {}, "must be a list"),
    ],
)
def test_fault_of_a_field(field, value, text):
    document = {"count": 1, field: value}
    assert from_plain(Sample, document).error == [
        Fault(ResultCode.POLICY_FIELD, f"{field}: {text}")
    ]
    assert from_plain(Sample, {"count": 1, "child": document}).error == [
        Fault(ResultCode.POLICY_FIELD, f"child.{field}: {text}")
    ]


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ({"names": ["a", None]}, "names[1]: must be of type str"),
        ({"grid": [[], [1, 2, 3]]}, "grid[1]: has 3 entries; at most 2 is allowed"),
        ({"grid": [[1], None]}, "grid[1]: must be a list"),
        ({"grid": [[1, True]]}, "grid[0][1]: must be of type int"),
        ({"rows": {"a": 1}}, "rows.a: must be a table"),
        ({"rows": {"a": {"": {"b": NAN}}}}, "rows.a..b: must be a finite number"),
        (
            {"rows": {"a": {"b": {"c": 1, "d": 1, "e": 1}}}},
            "rows.a.b: has 3 entries; at most 2 is allowed",
        ),
        ({"rows": {7: {"b": {None: "x"}}}}, "rows.7.b.None: must be of type float"),
        ({"leaves": [{"key": "a"}, None]}, "leaves[1]: must be a table"),
        ({"leaves": [{"ratio": 1}]}, "leaves[0].key: is required"),
        (
            {"tree": {"a": [{"key": "k", "ratio": 2}]}},
            "tree.a[0].ratio: is 2.0; at most 1.0 is allowed",
        ),
        (
            {"leaf": {"key": "k", "ratio": -1}},
            "leaf.ratio: is -1.0; at least 0.0 is required",
        ),
    ],
)
def test_fault_within_a_field_has_its_path(value, text):
    assert from_plain(Sample, {"count": 1, **value}).error == [
        Fault(ResultCode.POLICY_FIELD, text)
    ]


@pytest.mark.parametrize("value", [None, [], "a", 1, ()])
def test_document_must_be_a_table(value):
    fault = Fault(ResultCode.POLICY_FIELD, "document: must be a table")
    assert from_plain(Sample, value).error == [fault]


def test_faults_come_in_the_order_of_the_fields():
    value = {
        "zzz": 1,
        "leaves": [{"key": ""}, {"a": 1, "ratio": INF}, 5],
        "title": 1,
        "names": [1, "a"],
        "": 2,
    }
    details = [f.detail for f in from_plain(Sample, value, strict=True).error]
    assert details == [
        "count: is required",
        "title: must be of type str",
        "names[0]: must be of type str",
        "leaves[0].key: has length 0; at least 1 is required",
        "leaves[1].key: is required",
        "leaves[1].ratio: must be a finite number",
        "leaves[1].a: is not a known field",
        "leaves[2]: must be a table",
        "zzz: is not a known field",
        "document: is not a known field",
    ]


def test_unknown_fields_are_kept_up_to_the_limit():
    unknown = {f"u{i}": [{"v": i}] for i in range(MAX_UNKNOWN_FIELDS)}
    leaf = {"key": "a", **unknown}
    record = from_plain(Sample, {"count": 1, "leaves": [leaf], **unknown}).ok
    assert record.unknown == unknown
    assert list(record.unknown) == list(unknown)
    assert record.leaves[0].unknown == unknown
    assert to_plain(record)["leaves"][0] == {"key": "a", "ratio": 0.5, **unknown}
    leaf["one more"] = 1
    assert from_plain(Sample, {"count": 1, "leaves": [leaf], **leaf}).error == [
        Fault(ResultCode.POLICY_FIELD, "leaves[0]: has too many unknown fields"),
        Fault(ResultCode.POLICY_FIELD, "document: has too many unknown fields"),
    ]


def test_unknown_fields_of_two_records_are_apart():
    first, second = (from_plain(Leaf, {"key": "a"}).ok for _ in range(2))
    first.unknown["x"] = 1
    assert second.unknown == {}


def test_unknown_field_replaces_nothing_and_comes_last():
    record = from_plain(Leaf, {"z": 1, "key": "a"}).ok
    assert list(to_plain(record).items()) == [("key", "a"), ("ratio", 0.5), ("z", 1)]


def nested(levels, key="child"):
    value = {"count": 1}
    for _ in range(levels):
        value = {"count": 1, key: value}
    return value


def test_depth_of_records_is_limited():
    assert from_plain(Sample, nested(MAX_DEPTH)).is_ok()
    path = ".".join(["child"] * (MAX_DEPTH + 1))
    fault = Fault(ResultCode.POLICY_FIELD, f"{path}: is nested too deeply")
    assert from_plain(Sample, nested(MAX_DEPTH + 1)).error == [fault]
    assert from_plain(Sample, nested(MAX_DEPTH + 3)).error == [fault]


def test_containers_count_as_levels():
    value = {"count": 1, "leaves": [{"key": "a"}]}
    for _ in range(MAX_DEPTH - 2):
        value = {"count": 1, "child": value}
    assert from_plain(Sample, value).is_ok()
    path = ".".join(["child"] * (MAX_DEPTH - 1))
    fault = Fault(ResultCode.POLICY_FIELD, f"{path}.leaves[0]: is nested too deeply")
    assert from_plain(Sample, {"count": 1, "child": value}).error == [fault]
    value = {"count": 1, "tree": {"x": [{"key": "a"}]}}
    for _ in range(MAX_DEPTH - 2):
        value = {"count": 1, "child": value}
    path = ".".join(["child"] * (MAX_DEPTH - 2))
    fault = Fault(ResultCode.POLICY_FIELD, f"{path}.tree.x[0]: is nested too deeply")
    assert from_plain(Sample, value).error == [fault]


def test_too_deep_value_that_is_no_table_is_named_so():
    value = {"count": 1, "child": 5}
    for _ in range(MAX_DEPTH):
        value = {"count": 1, "child": value}
    path = ".".join(["child"] * (MAX_DEPTH + 1))
    fault = Fault(ResultCode.POLICY_FIELD, f"{path}: must be a table")
    assert from_plain(Sample, value).error == [fault]


def test_integer_becomes_a_float_where_one_is_asked():
    value = {"count": 1, "amount": 3, "rows": {"a": {"b": {"c": 2}}}}
    record = from_plain(Sample, value).ok
    assert (type(record.amount), record.amount) == (float, 3.0)
    assert type(record.rows["a"]["b"]["c"]) is float
    assert type(record.count) is int


def test_subclasses_of_plain_types_are_accepted():
    title = Text("ab")
    record = from_plain(
        Sample, {"count": Number.TWO, "title": title, "amount": Number.TWO}
    ).ok
    assert record.count is Number.TWO
    assert record.title is title
    assert (type(record.amount), record.amount) == (float, 2.0)


@pytest.mark.parametrize("amount", [1e308, -1e308, 5e-324, -0.0, 2**64, -(2**64)])
def test_any_finite_number_is_accepted_without_bounds(amount):
    record = from_plain(Sample, {"count": 1, "amount": amount}).ok
    assert repr(record.amount) == repr(float(amount))


def test_optional_fields_and_defaults():
    record = from_plain(Sample, {"count": 1}).ok
    absent = from_plain(Sample, {"count": 1, "note": None, "leaf": None}).ok
    assert record == absent
    assert (record.note, record.leaf, record.child) == (None, None, None)
    assert (record.names, record.rows, record.mode) == (["n"], {}, "on")
    other = from_plain(Sample, {"count": 1}).ok
    other.names.append("x")
    assert record.names == ["n"]


def test_none_for_an_optional_container_is_its_default():
    assert from_plain(Labels, {"labels": None}).ok.labels == ["a"]
    first, second = from_plain(Labels, {}).ok, from_plain(Labels, {}).ok
    first.labels.append("b")
    assert second.labels == Labels().labels == ["a"]


def test_containers_are_copied():
    value = {
        "count": 1,
        "names": ["a"],
        "rows": {"a": {"b": {"c": 1.0}}},
        "leaves": [{"key": "a"}],
    }
    record = from_plain(Sample, value).ok
    assert record.names is not value["names"]
    assert record.rows["a"]["b"] is not value["rows"]["a"]["b"]
    plain = to_plain(record)
    assert plain["names"] is not record.names
    assert plain["rows"]["a"]["b"] is not record.rows["a"]["b"]
    plain["leaves"][0]["key"] = "b"
    assert record.leaves[0].key == "a"


def test_subclass_of_a_record_has_its_own_fields():
    assert from_plain(Leaf, {"key": "a", "extra": 1}).ok.unknown == {"extra": 1}
    assert from_plain(Wider, {"key": "a", "extra": 1}).ok.extra == 1
    assert from_plain(Leaf, {"key": "a", "extra": 1}).ok.unknown == {"extra": 1}
    wider = Wider(key="a")
    assert to_plain(wider) == {"key": "a", "ratio": 0.5, "extra": 0}
    assert to_plain(Leaf(key="a")) == {"key": "a", "ratio": 0.5}
    assert Leaf(key="a") != wider


def test_record_without_fields():
    record = from_plain(Empty, {"a": 1}).ok
    assert to_plain(record) == {"a": 1}
    assert to_plain(Empty()) == {}
    assert from_plain(Empty, {}, strict=True).ok == Empty()


@pytest.mark.parametrize("value", [None, 1, 1.5, True, "a", b"a", (1, 2)])
def test_scalars_are_plain(value):
    assert to_plain(value) is value


def test_records_in_lists_and_maps_become_plain():
    leaf = Leaf(key="a", ratio=[Leaf(key="b")])
    plain = {"key": "a", "ratio": [{"key": "b", "ratio": 0.5}]}
    assert to_plain([leaf, 1, {"x": leaf}]) == [plain, 1, {"x": plain}]
    assert to_plain({"x": [leaf], "y": None}) == {"x": [plain], "y": None}


def test_unknown_fields_are_written_back_unchanged():
    leaf = Leaf(key="a")
    leaf.unknown = {"x": [1]}
    assert to_plain(leaf)["x"] is leaf.unknown["x"]


def test_equality_and_repr():
    record = from_plain(Sample, {"count": 1, "leaves": [{"key": "a"}]}).ok
    other = from_plain(Sample, {"count": 1, "leaves": [{"key": "a", "x": 1}]}).ok
    assert record == other
    assert record != from_plain(Sample, {"count": 2, "leaves": [{"key": "a"}]}).ok
    assert repr(Leaf(key="a")) == "Leaf(key='a', ratio=0.5)"
    assert "secret" not in repr(record)
    with pytest.raises(TypeError):
        hash(record)


def test_large_document_has_each_fault_with_its_path():
    value = {"number": 1, "routes": [{"name": "", "host": "h"} for _ in range(300)]}
    routing = importlib.import_module("flamingolift_model.routing")
    details = [f.detail for f in from_plain(routing.RoutingPolicy, value).error]
    assert details[0] == "routes[0].name: has length 0; at least 1 is required"
    assert details[-1] == "routes[299].timeout_ms: is required"
    assert details == reference_faults(routing.RoutingPolicy, value, strict=False)
