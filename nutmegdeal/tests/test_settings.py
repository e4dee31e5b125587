"""Tests of the settings reader."""

from nutmegdeal import settings


def test_missing_keys_have_defaults(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text("[listen]\nport = 8080\n")
    loaded = settings.load(path)
    assert loaded.listen.port == 8080
    assert loaded.entry == settings.EntrySettings()


def test_all_mistakes_are_reported_together(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text("[listen]\nport = 99999\n[entry]\nfoo = 1\n[other]\n")
    invalid = settings.load(path, required=("agent.service",))
    assert isinstance(invalid, settings.InvalidFile)
    locations = [(mistake.section, mistake.key) for mistake in invalid.mistakes]
    assert locations == [
        ("listen", "port"),
        ("entry", "foo"),
        ("other", ""),
        ("agent", "service"),
    ]
    assert "from 0 to 65535" in str(invalid)
