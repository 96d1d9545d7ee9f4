"""Reads the settings file of `pomelod`, and reports all of its errors."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import NodeId, ZoneName

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one node.

    Attributes:
      node_id: the node's name, unique among nodes.
      availability_zone: the availability zone in which the node runs.
      address: the IP address on which the node listens.
      http_port: the port for callers, operators and the load balancer.
      peer_port: the port for other nodes.
      platform_url: the base URL of the platform.
      seeds: the addresses of peers through which the node joins, as `ip:port`.
      drain_s: the time that the load balancer is given to stop sending
        requests after `/readyz` fails, in seconds.
      max_connections: the limit on open connections of callers, and on
        requests in progress.
      max_buffered_bytes: the limit on the memory for request and response
        bodies, in bytes.
    """

    node_id: NodeId
    availability_zone: ZoneName
    address: str
    http_port: Port
    peer_port: Port
    platform_url: str
    seeds: tuple[str, ...] = ()
    drain_s: Seconds = 2.0
    max_connections: PositiveInt = 10_000
    max_buffered_bytes: PositiveInt = 64_000_000


class SettingFinding(msgspec.Struct, frozen=True):
    """An error in a settings file.

    Attributes:
      path: the path of the file.
      setting: the name of the setting, `file` for the file as a whole.
      message: a description of the error.
    """

    path: str
    setting: str
    message: str

    def __str__(self) -> str:
        """Returns the error as one line for the terminal."""
        return f"{self.path}: {self.setting}: {self.message}"


def load_settings(
    path: pathlib.Path,
) -> Result[Settings, list[SettingFinding]]:
    """Reads a settings file; returns all of its errors if it has any."""
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
