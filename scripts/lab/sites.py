"""Manifests of the two deployments, scaled down to run on one machine."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Service:
    """A service of a site. A service of kind "single" has one group."""

    name: str
    kind: str
    groups: int
    replicas: int
    slots: int
    connections: int
    connection_cost_ms: float
    service_ms: float = 5.0


@dataclasses.dataclass(frozen=True)
class Site:
    """Failure domains and services of one deployment."""

    name: str
    domains: tuple
    services: tuple
    caller_delay_ms: float

    def service(self, name):
        """Returns the service with the given name."""
        return next(service for service in self.services if service.name == name)


SITES = {
    "argani": Site(
        "argani",
        ("sondrio", "tirano", "chiavenna"),
        (
            Service("dispatch-desk", "fanout", 10, 3, 2, 25, 6),
            Service("billing-office", "fanout", 15, 3, 2, 25, 6),
            Service("yard-terminal", "single", 1, 20, 2, 100, 1),
            Service("maint-log", "single", 1, 10, 2, 100, 1),
        ),
        1.0,
    ),
    "railrover": Site(
        "railrover",
        ("fenland-north", "fenland-east", "fenland-south", "fenland-west"),
        (
            Service("ridefinder", "fanout", 10, 3, 2, 25, 6),
            Service("guideline", "fanout", 15, 3, 2, 25, 6),
            Service("bookdesk", "single", 1, 7, 6, 50, 1),
            Service("platboard", "single", 1, 4, 6, 50, 1),
        ),
        3.0,
    ),
}


def list_leafs(site, first_port, host="127.0.0.1"):
    """Returns the leafs of a site as tuples (name, service, group, domain, address).

    Replicas of a group are in different failure domains. The domain of the first replica rotates with the group
    index, so that the load is spread evenly over the domains.
    """
    leafs = []
    port = first_port
    for service in site.services:
        for group in range(service.groups):
            for replica in range(service.replicas):
                domain = site.domains[(group + replica) % len(site.domains)]
                name = f"{service.name}-{group + 1}-{replica + 1}"
                leafs.append((name, service.name, f"g{group + 1}", domain, f"{host}:{port}"))
                port += 1
    return leafs


def render_manifest(site, first_port, extra_sections=""):
    """Returns the manifest of a site, followed by the text of extra sections."""
    lines = ["[manifest]", f"name = {site.name}", ""]
    for domain in site.domains:
        lines += [f"[domain {domain}]", f"region = {site.name}", ""]
    for service in site.services:
        lines += [
            f"[service {service.name}]",
            f"kind = {service.kind}",
            f"slots = {service.slots}",
            f"connections = {service.connections}",
            f"connection_cost_ms = {service.connection_cost_ms:g}",
            f"service_ms = {service.service_ms:g}",
            "",
        ]
    for name, service, group, domain, address in list_leafs(site, first_port):
        lines += [
            f"[leaf {name}]",
            f"service = {service}",
            f"group = {group}",
            f"domain = {domain}",
            f"address = {address}",
            "",
        ]
    return "\n".join(lines) + extra_sections
