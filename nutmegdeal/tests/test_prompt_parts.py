"""Tests of prompt parts that crash the engines on which they run."""

import pytest

from nutmegdeal.platform import headers as platform_headers


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5C1E:8, 91bd:4 ,5c1e:9,e4:2", ("5c1e", "91bd")),
        (b"e4402b7d:250", ()),
        (b"", ()),
        (b",,:7,x", ()),
    ],
)
def test_last_prompt_part_is_not_shared(value, parts):
    terms = platform_headers.decode_request_terms([(b"x-prompt-prefix", value)])
    assert terms.shared_parts == parts


def test_number_of_prompt_parts_is_bounded():
    value = b",".join(b"%x:1" % number for number in range(1_000))
    terms = platform_headers.decode_request_terms([(b"x-prompt-prefix", value)])
    assert len(terms.shared_parts) == platform_headers.SHARED_PARTS_MAX
