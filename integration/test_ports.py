"""Ports that the tests give to the processes that they start."""

import pathlib

from flamingolift_standins.ports import free_ports

EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


# Guards against fronts that end at their start with "address already in use".
def test_ports_are_distinct_and_outside_the_range_of_outgoing_connections():
    ports = [port for _front in range(200) for port in free_ports(5)]
    assert len(set(ports)) == len(ports)
    first, last = map(int, EPHEMERAL_RANGE.read_text().split())
    assert not any(first <= port <= last for port in ports)
