"""Encoding of attrs objects as JSON, for the values of rows in the table service."""

import json

from cattrs.preconf.json import make_converter

_converter = make_converter()


def encode_record(record):
    """Return an attrs object as JSON (bytes); bytes in its fields become base85."""
    fields = _converter.unstructure(record)
    return json.dumps(fields, separators=(",", ":")).encode("utf-8")


def decode_record(data, record_class):
    """Return the object of `record_class` that `encode_record` encoded.

    Raises
    ------
    ValueError
        If `data` does not encode such an object.
    """
    try:
        return _converter.structure(json.loads(data), record_class)
    except Exception as error:
        raise ValueError(f"not a {record_class.__name__}: {error!r}") from error
