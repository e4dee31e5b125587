"""Encoding of attrs objects as the values of rows."""

import json

from cattrs.preconf.json import make_converter

_converter = make_converter()


def encode_record(record):
    """Return the JSON bytes of an attrs object; bytes in it become base85."""
    fields = _converter.unstructure(record)
    return json.dumps(fields, separators=(",", ":")).encode("utf-8")


def decode_record(data, record_class):
    """Return the object of `record_class` that `encode_record` encoded.

    Raises
    ------
    ValueError
        If `data` is nothing that it encoded.
    """
    try:
        return _converter.structure(json.loads(data), record_class)
    except Exception as error:
        raise ValueError(f"not a {record_class.__name__}: {error!r}") from error
