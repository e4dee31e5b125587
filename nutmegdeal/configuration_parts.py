"""Configurations in parts under the hash of their content, as they are stored."""

import hashlib
import zlib

import attrs

from nutmegdeal.configuration import Configuration
from nutmegdeal.configuration_files import (
    adapters_to_sections,
    join_sections,
    parse_text,
    policy_to_sections,
    read_adapters,
    read_policy,
)
from nutmegdeal.settings import InvalidFile, Mistake

PART_COUNT = 64
HASH_DIGITS = 32
OBJECT_BYTES_MAX = 16_777_216
COMPRESSION_LEVEL = 9
PARTS_SECTION = "parts"


@attrs.frozen
class StoredText:
    """INI text under the hash of its content.

    Parameters
    ----------
    digest : str
    text : str
    """

    digest: str
    text: str

    @property
    def object_name(self):
        """Name in the object store."""
        return object_name(self.digest)

    @property
    def body(self):
        """Bytes to store."""
        return zlib.compress(self.text.encode("utf-8"), COMPRESSION_LEVEL)


@attrs.frozen
class SplitConfiguration:
    """A configuration as it is stored.

    Parameters
    ----------
    manifest : StoredText
        Everything but the adapters, and the hash of each part.
    parts : tuple of StoredText
        Adapters by the hash of their name; parts without any are left out.
    """

    manifest: StoredText
    parts: tuple[StoredText, ...]


@attrs.frozen
class Manifest:
    """A manifest as it was read.

    Parameters
    ----------
    policy : Configuration
        Without adapters, generation 0.
    part_digests : tuple of str
    """

    policy: Configuration
    part_digests: tuple[str, ...]


def object_name(digest):
    """Return the name of a manifest or part in the object store."""
    return f"config/{digest}"


def store_text(text):
    """Return the StoredText of INI text."""
    digest = hashlib.sha256(text.encode("utf-8")).hexdigest()[:HASH_DIGITS]
    return StoredText(digest, text)


def open_body(digest, body):
    """Return the text of stored bytes (str), or None if they are not what was stored.

    Parameters
    ----------
    digest : str
        Hash under which the bytes were found.
    body : bytes
    """
    opener = zlib.decompressobj()
    try:
        text = opener.decompress(body, OBJECT_BYTES_MAX).decode("utf-8")
    except (zlib.error, UnicodeDecodeError):
        return None
    return text if store_text(text).digest == digest else None


def split(configuration):
    """Return the SplitConfiguration of a Configuration; its generation is left out."""
    groups = [[] for _ in range(PART_COUNT)]
    for adapter in configuration.adapters.values():
        groups[part_of(adapter.name)].append(adapter)
    texts = [
        join_sections(adapters_to_sections(group)) if group else None
        for group in groups
    ]
    parts = [None if text is None else store_text(text) for text in texts]
    digests = [
        (f"{number:02}", part.digest) for number, part in enumerate(parts) if part
    ]
    sections = [*policy_to_sections(configuration), (PARTS_SECTION, digests)]
    manifest = store_text(join_sections(sections))
    return SplitConfiguration(manifest, tuple(part for part in parts if part))


def part_of(adapter_name):
    """Return the number of the part that holds an adapter, below PART_COUNT."""
    digest = hashlib.sha256(adapter_name.encode("utf-8")).digest()
    return int.from_bytes(digest[:4], "big") % PART_COUNT


def read_manifest(text):
    """Return the Manifest of INI text, or an InvalidFile."""
    parser = parse_text(text)
    if isinstance(parser, InvalidFile):
        return parser
    mistakes = []
    policy = read_policy(parser, mistakes)
    if not parser.has_section(PARTS_SECTION):
        mistakes.append(Mistake(PARTS_SECTION, "", "is missing"))
    if mistakes:
        return InvalidFile("manifest", tuple(mistakes))
    return Manifest(policy, tuple(parser[PARTS_SECTION].values()))


def read_part(text):
    """Return the tuple of AdapterPolicy in a part, or an InvalidFile."""
    parser = parse_text(text)
    if isinstance(parser, InvalidFile):
        return parser
    mistakes = []
    adapters = read_adapters(parser, mistakes)
    if mistakes:
        return InvalidFile("part", tuple(mistakes))
    return tuple(adapters)
