"""The machines of a seed, their processes and the settings files they start with."""
import enum
import pathlib
import random
import socket
from dataclasses import dataclass

FRONT_PORT = 8689
READY_PORT = 8687
CONTROL_PORT = 8683
PLATFORM_PORT = 8688
ENDPOINT_PORT = 8080
RESERVATION_PORT = 7999
ZONES = ("north", "east", "west")
FIRST_BLOCK = 20
BLOCKS = 200


@dataclass(frozen=True)
class Bounds:
    """The operators' bounds that the judge holds the tier to, in seconds."""

    contact: float = 3.0
    drain: float = 3.0
    recovery: float = 12.0
    finish: float = 10.0
    catch_up: float = 5.2
    grace: float = 8.0
    lag: float = 0.8
    status: float = 300.0


BOUNDS = Bounds()


class Role(enum.Enum):
    """A program of the tier."""

    PROXY = "proxy"
    CORE = "core"
    STORE = "store"


FIRST_PORT = 7360
INTERNAL_PORTS = {Role.PROXY: FIRST_PORT, Role.CORE: FIRST_PORT + 1, Role.STORE: FIRST_PORT + 2}


@dataclass(frozen=True)
class Machine:
    """One loopback address and the programs that run there."""

    name: str
    ip: str
    zone: str
    roles: tuple[Role, ...]

    @property
    def counts(self) -> bool:
        """Whether its loss counts against the tolerance."""
        return machine_counts(self.name)


class Deployment:
    """Three core processes and three stores with disks, five proxies, in three zones."""

    def __init__(self, block: int, folder: pathlib.Path, disks: pathlib.Path) -> None:
        self.block = block
        self.folder = folder
        self._disks = disks
        self.machines = [self._edge(zone, 1, (Role.CORE, Role.PROXY)) for zone in range(3)]
        self.machines += [self._edge(zone, 2, (Role.PROXY,)) for zone in range(2)]
        self.machines += [self._storage(zone) for zone in range(3)]

    def _edge(self, zone: int, number: int, roles: tuple[Role, ...]) -> Machine:
        name = f"edge-{ZONES[zone]}-{number}"
        return Machine(name, f"127.{self.block}.{zone}.{number}", ZONES[zone], roles)

    def _storage(self, zone: int) -> Machine:
        ip = f"127.{self.block}.{zone}.9"
        return Machine(f"storage-{ZONES[zone]}-1", ip, ZONES[zone], (Role.STORE,))

    def of_role(self, role: Role) -> list[Machine]:
        """The machines that run it."""
        return [machine for machine in self.machines if role in machine.roles]

    @property
    def platform_ip(self) -> str:
        """Where the platform's stand-in listens."""
        return f"127.{self.block}.250.1"

    def endpoint_ip(self, number: int) -> str:
        """A fresh address for each incarnation of an endpoint."""
        return f"127.{self.block}.{100 + number // 200}.{1 + number % 200}"

    def data_folder(self, machine: Machine) -> pathlib.Path:
        """The machine's disk."""
        return self._disks / machine.name

    def cuts_file(self, machine: Machine, role: Role) -> pathlib.Path:
        """The file that tells a process from whom it is cut off."""
        return self.folder / machine.name / f"{role.value}.cuts"

    def settings_file(self, machine: Machine, role: Role) -> pathlib.Path:
        """The settings of one process."""
        return self.folder / machine.name / f"{role.value}.conf"

    def write_settings(self, machine: Machine, role: Role, bootstrap: bool) -> None:
        """Writes the settings as the platform does before each start."""
        values = self._common(machine, role) | self._of_role(machine, role)
        values["bootstrap"] = "true" if bootstrap else "false"
        text = "".join(f"{key}={value}\n" for key, value in values.items())
        self.settings_file(machine, role).write_text(text)

    def _common(self, machine: Machine, role: Role) -> dict[str, str]:
        seeds = [f"{core.ip}:{CONTROL_PORT}" for core in self.of_role(Role.CORE)]
        values = {
            "node": machine.name, "role": role.value, "ip": machine.ip, "zone": machine.zone,
            "region": "all", "portRange": f"{FIRST_PORT},{FIRST_PORT + 15}", "seeds": ",".join(seeds),
            "countsForQuorum": "true" if machine.counts else "false",
            "limits.cpuShare": "0.45", "limits.cores": "1", "limits.memoryMb": "260",
            "limits.maxFds": "1000", "limits.linkMbps": "1000.0", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,recover,batch,stream,tenants,leader",
            "faultTolerance.machines": "1", "faultTolerance.zones": "0",
            "faultTolerance.regions": "0",
            "bounds.contactMs": str(int(BOUNDS.contact * 1000)), "bounds.ackMs": "4000",
            "bounds.catchUpS": str(BOUNDS.catch_up),
            "bounds.drainMs": str(int(BOUNDS.drain * 1000)), "bounds.graceS": str(BOUNDS.grace),
            "bounds.fencing": "true", "bounds.leaseMs": "3000", "bounds.usageWindowS": "5",
            "bounds.recoveryS": str(BOUNDS.recovery), "bounds.finishS": str(BOUNDS.finish),
            "bounds.statusS": str(int(BOUNDS.status)),
            "cloud.address": f"{self.platform_ip}:{PLATFORM_PORT}", "cloud.ratePerS": "40.0",
            "cloud.duties": "usage_report,autoscale",
            "cloud.lagMs": str(int(BOUNDS.lag * 1000)), "cloud.dutyPerS": "50.0",
        }
        return values | {f"zones.{zone}": "all" for zone in ZONES}

    def _of_role(self, machine: Machine, role: Role) -> dict[str, str]:
        disk = {"limits.diskMb": "64", "dataDir": str(self.data_folder(machine))}
        if role is Role.STORE:
            return {"machineClass": "storage", "serves": "storage", **disk}
        if role is Role.CORE:
            return {"machineClass": "edge", "serves": "control_plane",
                    "listen.control": f"{machine.ip}:{CONTROL_PORT}", **disk}
        return {"machineClass": "edge", "serves": "edge",
                "listen.front": f"{machine.ip}:{FRONT_PORT}",
                "listen.ready": f"{machine.ip}:{READY_PORT}"}

    def make_folders(self) -> None:
        """Empty disks, and no cuts."""
        for machine in self.machines:
            self.data_folder(machine).mkdir(parents=True)
            (self.folder / machine.name).mkdir()
            for role in machine.roles:
                self.cuts_file(machine, role).write_text("")


def machine_counts(name: str) -> bool:
    """Whether a machine of that name has a core process or a store."""
    return name.startswith("storage-") or name.endswith("-1")


def reserve_block() -> tuple[int, socket.socket]:
    """A block of loopback addresses that no other soak uses while the socket is held."""
    start = random.SystemRandom().randrange(BLOCKS)
    for offset in range(BLOCKS):
        block = FIRST_BLOCK + (start + offset) % BLOCKS
        holder = socket.socket()
        try:
            holder.bind((f"127.{block}.255.1", RESERVATION_PORT))
            return block, holder
        except OSError:
            holder.close()
    raise OSError("no block of loopback addresses is free")
