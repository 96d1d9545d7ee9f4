"""The addresses of the demo's processes and the files that configure them.

Each availability zone has loopback addresses of its own, like the hosts of a
real network: 127.block.zone.host.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys

import msgspec

from pomeloarch_node.platform import Host, HostKind
from pomeloarch_standins.relay import LinkAddress
from pomeloarch_standins.worker_fleet import worker_hosts

NODES_PER_ZONE = 2
EXECUTORS_PER_ZONE = 8
# Number of processes that flood the service.
FLOODERS = 2
# Time that an executor takes for a request, in seconds.
SERVICE_S = 0.1
WORKERS_PER_ZONE = 8
ACCELERATORS_PER_WORKER = 8
POOL = "{zone}-gpu"
HTTP_PORT = 8080
PEER_PORT = 8081
PLATFORM_PORT = 8070
# Port of the first node's relay link; each further node has the next port.
PLATFORM_LINK_PORT = 8071
RELAY_CONTROL_PORT = 8069
WORKERS_PORT = 8060
EXECUTORS_PORT = 9001
EXECUTORS_CONTROL_PORT = 9000


class Example(msgspec.Struct, frozen=True):
    """The settings of an example that the demo needs besides its objects."""

    name: str
    zones: tuple[str, ...]
    service: str
    memory_gb: int


EXAMPLES = {
    "shrestha": Example(
        "shrestha", ("patan", "bhaktapur", "boudha"), "appraisal-desk", 512
    ),
    "qasr": Example("qasr", ("amman-a", "amman-b", "amman-c"), "scorer", 256),
}


class NodeAddress(msgspec.Struct, frozen=True):
    """The name, zone and address of one node of the demo."""

    name: str
    availability_zone: str
    address: str

    @property
    def url(self) -> str:
        """The URL for callers and operators."""
        return f"http://{self.address}:{HTTP_PORT}"

    @property
    def peer_address(self) -> str:
        """The address for other nodes."""
        return f"{self.address}:{PEER_PORT}"


class Layout(msgspec.Struct, frozen=True):
    """All addresses of one run.

    Attributes:
      example: the example that runs.
      block: the second number of all loopback addresses.
    """

    example: Example
    block: int

    @classmethod
    def from_name(cls, name: str, block: int) -> Layout:
        """Returns the layout of the named example."""
        return cls(EXAMPLES[name], block)

    @property
    def shared_address(self) -> str:
        """The address of the platform and the workers."""
        return f"127.{self.block}.0.1"

    @property
    def platform_url(self) -> str:
        """The URL of the platform."""
        return f"http://{self.shared_address}:{PLATFORM_PORT}"

    @property
    def relay_url(self) -> str:
        """The URL of the relay's control interface."""
        return f"http://{self.shared_address}:{RELAY_CONTROL_PORT}"

    def platform_link_url(self, node: NodeAddress) -> str:
        """Returns the URL of a node's relay link to the platform."""
        port = PLATFORM_LINK_PORT + self.nodes().index(node)
        return f"http://{self.shared_address}:{port}"

    def platform_links(self) -> list[LinkAddress]:
        """Returns the relay's links from each node to the platform."""
        return [
            LinkAddress(
                node.name,
                self.shared_address,
                PLATFORM_LINK_PORT + index,
                self.shared_address,
                PLATFORM_PORT,
            )
            for index, node in enumerate(self.nodes())
        ]

    @property
    def workers_url(self) -> str:
        """The URL of the process of the workers."""
        return f"http://{self.shared_address}:{WORKERS_PORT}"

    def executor_address(self, zone: int) -> str:
        """Returns the address of the executors of a zone."""
        return f"127.{self.block}.{zone + 1}.20"

    def nodes(self) -> list[NodeAddress]:
        """Returns all nodes."""
        return [
            NodeAddress(
                f"{zone}-{number + 1}",
                zone,
                f"127.{self.block}.{index + 1}.{11 + number}",
            )
            for index, zone in enumerate(self.example.zones)
            for number in range(NODES_PER_ZONE)
        ]

    def hosts(self) -> list[Host]:
        """Returns the platform's membership list."""
        workers = worker_hosts(
            f"{self.shared_address}:{WORKERS_PORT}",
            list(self.example.zones),
            hosts_per_rack=WORKERS_PER_ZONE,
            accelerators=ACCELERATORS_PER_WORKER,
            memory_gb=self.example.memory_gb,
            pool=POOL,
        )
        return [*self._node_hosts(), *self._executor_hosts(), *workers]

    def _node_hosts(self) -> list[Host]:
        return [
            Host(
                node.name,
                HostKind.NODE,
                node.availability_zone,
                f"{node.address}:{HTTP_PORT}",
                attributes={"peer_address": node.peer_address},
            )
            for node in self.nodes()
        ]

    def _executor_hosts(self) -> list[Host]:
        return [
            Host(
                f"{zone}-executor-{number}",
                HostKind.EXECUTOR,
                zone,
                f"{self.executor_address(index)}:{EXECUTORS_PORT + number}",
                attributes={"service": self.example.service, "slots": 8},
            )
            for index, zone in enumerate(self.example.zones)
            for number in range(EXECUTORS_PER_ZONE)
        ]

    def settings(self, node: NodeAddress) -> str:
        """Returns the settings file of a node."""
        seeds = [other.peer_address for other in self.nodes()]
        values = {
            "node_id": node.name,
            "availability_zone": node.availability_zone,
            "address": node.address,
            "http_port": HTTP_PORT,
            "peer_port": PEER_PORT,
            "platform_url": self.platform_link_url(node),
            "seeds": seeds,
            "drain_s": 1.0,
        }
        # JSON strings, numbers and lists are valid TOML.
        lines = [
            f"{name} = {json.dumps(value)}" for name, value in values.items()
        ]
        return "\n".join(lines) + "\n"

    def standin_commands(self, output: pathlib.Path) -> list[str]:
        """Returns the command lines of the test doubles, one for each process.

        Args:
          output: the folder with the files of the run.
        """
        package = "pomeloarch_standins"
        shared = f"--address {self.shared_address}"
        lines = [
            f"platform {package}.platform_server {shared} "
            f"--port {PLATFORM_PORT} --hosts {output}/hosts.json",
            f"relay {package}.relay {shared} --port {RELAY_CONTROL_PORT} "
            f"--links {output}/links.json",
            f"workers {package}.workers {shared} --port {WORKERS_PORT} "
            f"--zones {','.join(self.example.zones)} "
            f"--hosts-per-rack {WORKERS_PER_ZONE} "
            f"--accelerators {ACCELERATORS_PER_WORKER} "
            f"--memory-gb {self.example.memory_gb} --pool {POOL}",
        ]
        for index, zone in enumerate(self.example.zones):
            lines.append(
                f"executors-{zone} {package}.executors "
                f"--address {self.executor_address(index)} "
                f"--base-port {EXECUTORS_PORT} --count {EXECUTORS_PER_ZONE} "
                f"--control-port {EXECUTORS_CONTROL_PORT} "
                f"--service {self.example.service} "
                f"--service-s {SERVICE_S}"
            )
        return lines


def flooder_commands(layout: Layout, output: pathlib.Path) -> list[str]:
    """Returns the command lines of the processes that flood the service."""
    return [
        f"flood-{index} pomeloarch_standins.demo_flood "
        f"--example {layout.example.name} --block {layout.block} "
        f"--work {output} --index {index}"
        for index in range(FLOODERS)
    ]


def write_files(layout: Layout, output: pathlib.Path) -> None:
    """Writes the configuration files of all processes to a folder."""
    hosts = msgspec.json.encode(layout.hosts())
    (output / "hosts.json").write_bytes(hosts)
    links = msgspec.json.encode(layout.platform_links())
    (output / "links.json").write_bytes(links)
    for node in layout.nodes():
        (output / f"{node.name}.toml").write_text(layout.settings(node))
    names = [node.name for node in layout.nodes()]
    (output / "nodes.txt").write_text("".join(f"{name}\n" for name in names))
    commands = [
        *layout.standin_commands(output),
        *flooder_commands(layout, output),
    ]
    lines = [f"{line}\n" for line in commands]
    (output / "standins.txt").write_text("".join(lines))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments that identify a run of the demo."""
    parser.add_argument("--example", choices=sorted(EXAMPLES), required=True)
    parser.add_argument("--block", type=int, default=1)


def main(argv: list[str] | None = None) -> int:
    """Writes the configuration files of a run."""
    parser = argparse.ArgumentParser(
        prog="demo_layout",
        description="Write the configuration files of the demo.",
    )
    add_arguments(parser)
    parser.add_argument("--output", type=pathlib.Path, required=True)
    args = parser.parse_args(argv)
    write_files(Layout.from_name(args.example, args.block), args.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
