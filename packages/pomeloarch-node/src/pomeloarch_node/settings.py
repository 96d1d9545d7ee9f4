"""The settings file of `pomelod`: TOML, with every finding reported at once."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import NodeId, ZoneName

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one node is told at its start.

    Attributes:
      node_id: the node's name, unique among nodes.
      availability_zone: where it runs.
      address: the IP address it listens on.
      http_port: the port for callers, operators and the balancer.
      peer_port: the port for other nodes.
      platform_url: where the platform answers.
      seeds: peer addresses, `ip:port`, to join by.
      drain_s: time the balancer is given to stop sending after `readyz` has
        gone off, in seconds.
      max_connections: connections of callers held at once.
      max_buffered_bytes: memory for request and response bodies.
    """

    node_id: NodeId
    availability_zone: ZoneName
    address: str
    http_port: Port
    peer_port: Port
    platform_url: str
    seeds: tuple[str, ...] = ()
    drain_s: Seconds = 2.0
    max_connections: Positive = 10_000
    max_buffered_bytes: Positive = 64_000_000


class SettingFinding(msgspec.Struct, frozen=True):
    """One thing that is wrong in a settings file."""

    path: str
    setting: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as a line for the terminal."""
        return f"{self.path}: {self.setting}: {self.message}"


def load_settings(
    path: pathlib.Path,
) -> Result[Settings, list[SettingFinding]]:
    """Reads a settings file; returns all of its findings if it has any."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Err([SettingFinding(str(path), "file", str(exc))])
    findings = _check_fields(str(path), table)
    if findings:
        return Err(findings)
    return Ok(msgspec.convert(table, Settings))


def _check_fields(path: str, table: dict[str, Any]) -> list[SettingFinding]:
    fields = {field.name: field for field in msgspec.structs.fields(Settings)}
    findings = [
        SettingFinding(path, name, "this setting does not exist")
        for name in table
        if name not in fields
    ]
    for name, field in fields.items():
        if name in table:
            findings += _check_value(path, name, table[name], field.type)
        elif field.required:
            findings.append(SettingFinding(path, name, "must be given"))
    return findings


def _check_value(
    path: str, name: str, value: Any, expected: Any
) -> list[SettingFinding]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as exc:
        return [SettingFinding(path, name, str(exc))]
    return []
