"""The measuring client counts and times answers and failures of a stand-in in this process."""

import tempfile
import unittest
from pathlib import Path

import eventlet
import eventlet.wsgi

from persimmonusher_lab.backend_server import BackendOptions, StandIn
from persimmonusher_lab.faults import Faults
from persimmonusher_lab.fleet import choose_network
from persimmonusher_lab.ledger import Ledger, Phase, read_ledgers
from persimmonusher_lab.throughput import Measurement, list_rows
from persimmonusher_lab.throughput_client import ClientFigures, ClientOptions


def make_figures(p99: float) -> ClientFigures:
    return ClientFigures(10, 100.0, p99 / 2, p99, p99, p99, {"200": 9, "503": 1})


class TableTest(unittest.TestCase):
    def test_adds_are_over_the_direct_run_of_the_same_load(self) -> None:
        rows = list_rows(
            [
                Measurement(0, "lookup", 100.0, make_figures(4.0), 0.0),
                Measurement(1, "lookup", 100.0, make_figures(9.0), 0.5),
            ]
        )
        self.assertEqual(rows[0][0], "direct")
        self.assertEqual(rows[1][6:], ["2.50", "5.00", "0.50", "2000", "1"])


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        address = f"{choose_network()}.1:8100"
        ledger = self.enterContext(Ledger(self.folder / "s.jsonl"))
        self.stand_in = StandIn(BackendOptions("s", "shows", address, slots=64), ledger)
        host, _, port = address.rpartition(":")
        listener = eventlet.listen((host, int(port)))
        server = eventlet.spawn(eventlet.wsgi.server, listener, self.stand_in, log_output=False)
        self.addCleanup(listener.close)
        self.addCleanup(server.kill)
        self.options = ClientOptions((address,), "x", 0.5, 100.0, connections=4)

    def run_client(self, options: ClientOptions) -> ClientFigures:
        green_sockets = eventlet.import_patched("persimmonusher_lab.throughput_client")
        figures: ClientFigures = green_sockets.MeasuringClient(options).run()
        return figures

    def test_open_loop_sends_on_schedule_and_counts(self) -> None:
        figures = self.run_client(self.options)
        self.assertEqual(figures.statuses, {"200": 50})
        self.assertGreater(figures.p50, 0.5)
        begun = [r for r in read_ledgers(self.folder) if r.phase is Phase.BEGUN]
        self.assertEqual(len({record.token for record in begun}), 50)

    def test_failures_and_cut_answers_are_counted_apart(self) -> None:
        self.stand_in.faults = Faults(fail_percent=100)
        self.assertEqual(self.run_client(self.options).statuses, {"500": 50})
        self.stand_in.faults = Faults(truncate_percent=100)
        self.assertEqual(self.run_client(self.options).statuses, {"0": 50})


if __name__ == "__main__":
    unittest.main()
