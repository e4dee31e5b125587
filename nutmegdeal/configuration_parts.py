"""Stored form of a configuration: a manifest and parts, named by content hash."""

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
DIGEST_HEX_DIGITS = 32
DECOMPRESSED_BYTES_MAX = 16_777_216
COMPRESSION_LEVEL = 9
PARTS_SECTION = "parts"


@attrs.frozen
class StoredText:
    """INI text that is stored under the hash of its content.

    Parameters
    ----------
    digest : str
        First DIGEST_HEX_DIGITS hexadecimal digits of the SHA-256 of `text`.
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
    """A configuration in its stored form.

    Parameters
    ----------
    manifest : StoredText
        Everything but the adapters, and the hash of each part.
    parts : tuple of StoredText
        Adapters grouped by the hash of their name; empty parts are omitted.
    """

    manifest: StoredText
    parts: tuple[StoredText, ...]


@attrs.frozen
class Manifest:
    """A parsed manifest.

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


def make_stored_text(text):
    """Return the StoredText of INI text."""
    digest = hashlib.sha256(text.encode("utf-8")).hexdigest()[:DIGEST_HEX_DIGITS]
    return StoredText(digest, text)


def unpack_body(digest, body):
    """Return the text of stored bytes (str), or None if they are invalid.

    Bytes are invalid if they cannot be decompressed and decoded, if their text has
    another hash, or if it is longer than DECOMPRESSED_BYTES_MAX.

    Parameters
    ----------
    digest : str
        Hash under which the bytes were found.
    body : bytes
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, DECOMPRESSED_BYTES_MAX).decode("utf-8")
    except (zlib.error, UnicodeDecodeError):
        return None
    return text if make_stored_text(text).digest == digest else None


def split(configuration):
    """Return the SplitConfiguration of a Configuration; its generation is omitted."""
    groups = [[] for _ in range(PART_COUNT)]
    for adapter in configuration.adapters.values():
        groups[part_number(adapter.name)].append(adapter)
    texts = [
        join_sections(adapters_to_sections(group)) if group else None
        for group in groups
    ]
    parts = [None if text is None else make_stored_text(text) for text in texts]
    digests = [
        (f"{number:02}", part.digest) for number, part in enumerate(parts) if part
    ]
    sections = [*policy_to_sections(configuration), (PARTS_SECTION, digests)]
    manifest = make_stored_text(join_sections(sections))
    return SplitConfiguration(manifest, tuple(part for part in parts if part))


def part_number(adapter_name):
    """Return the number of the part that holds an adapter, 0 to PART_COUNT - 1."""
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
