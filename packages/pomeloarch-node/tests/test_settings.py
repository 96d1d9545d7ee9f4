"""Tests the reading of the settings file."""

import pytest

from pomeloarch_node.settings import load_settings

VALID = """
node_id = "patan-1"
availability_zone = "patan"
address = "127.0.0.1"
http_port = 8080
peer_port = 8081
platform_url = "http://127.0.0.1:9000"
"""


def test_valid_file_is_read(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(VALID)
    assert load_settings(path).unwrap().http_port == 8080


@pytest.mark.parametrize(
    ("change", "wrong_settings"),
    [
        (("http_port = 8080", "http_port = 99999"), {"http_port"}),
        (("http_port = 8080", ""), {"http_port"}),
        (("http_port = 8080", "htp = 1"), {"http_port", "htp"}),
        (("= 8081", "= 'x'\ndrain_s = -1"), {"peer_port", "drain_s"}),
        (("node_id", "["), {"file"}),
    ],
)
def test_all_errors_are_reported_together(tmp_path, change, wrong_settings):
    path = tmp_path / "node.toml"
    path.write_text(VALID.replace(*change))
    findings = load_settings(path).unwrap_err()
    assert {finding.setting for finding in findings} == wrong_settings
