"""Tests of what a site on loopback is made of."""

import subprocess
import sys
import unittest

from daleroad.loopback import find_ports

ASK = "from daleroad.loopback import find_ports; print(*find_ports(15)); input()"
PROCESSES = 6


class PortsTest(unittest.TestCase):
    def test_processes_that_ask_at_the_same_time_get_different_ports(self) -> None:
        # Asked of the system, 2 of 75 sites that started beside two others shared a port.
        asking = [
            subprocess.Popen(
                [sys.executable, "-c", ASK],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESSES)
        ]
        ports: list[int] = []
        for process in asking:
            assert process.stdout is not None
            ports += [int(port) for port in process.stdout.readline().split()]
        for process in asking:
            process.communicate("\n")
        self.assertEqual(len(ports), 15 * PROCESSES)
        self.assertEqual(len(set(ports)), len(ports))

    def test_ports_that_were_given_are_not_given_again(self) -> None:
        ports = find_ports(40) + find_ports(40)
        self.assertEqual(len(set(ports)), 80)
