"""Tests of the command line."""

import contextlib
import io
import unittest
from unittest.mock import patch

import fire

from daleroad.cli import Commands
from daleroad.daleroad_pb import ChangeAnswer
from daleroad.plain import PlainOptions
from daleroad.security import hash_token

BODY = '{"name":"r","repeatable":true,"deadline":1.0}'


def run(*command: str) -> str:
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        fire.Fire(Commands, command=list(command), name="daleroad")
    return out.getvalue().strip()


class CliTest(unittest.TestCase):
    def test_json_reaches_the_operators_call_as_it_stands(self) -> None:
        with patch("daleroad.cli.OperatorClient") as client:
            client.return_value.change.return_value = ChangeAnswer(accepted=True, version=3)
            said = run(
                *("operate", "--control=http://a,http://b", "--token=t"),
                *("change", "PutRoute", BODY, "--base=2", "--operation=007"),
            )
        client.assert_called_once_with(["http://a", "http://b"], "t")
        client.return_value.change.assert_called_once_with("PutRoute", BODY, 2, "007", 8.0)
        self.assertIn('"accepted":true', said)

    def test_a_token_of_digits_is_a_text(self) -> None:
        self.assertEqual(run("hash", "0123"), hash_token("0123"))

    def test_a_stand_in_announces_the_address_that_it_is_told(self) -> None:
        with patch("daleroad.cli.PlainService") as service, patch("daleroad.cli.anyio.run"):
            run(
                *("standin", "plain", "p-0", "p", "127.0.0.1:1", "http://a,http://b", "t"),
                *("--zone", "z", "--advertise", "127.0.0.1:2"),
            )
        entries = ("http://a", "http://b")
        told = PlainOptions("p-0", "p", "z", "127.0.0.1:1", entries, "t", advertise="127.0.0.1:2")
        service.assert_called_once_with(told)

    def test_settings_with_faults_end_with_code_1(self) -> None:
        with self.assertRaises(SystemExit) as caught:
            run("check", "no-such-file.ini")
        self.assertEqual(caught.exception.code, 1)
