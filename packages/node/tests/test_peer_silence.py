import unittest

from structlog.testing import capture_logs

from persimmonusher_node.keeper_leaderless import LeaderlessSpells
from persimmonusher_node.peer_silence import PeerSilences

PEER = "127.0.0.1:7003"


class PeerSilencesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.silences = PeerSilences()

    # Guards against logs that can't tell a silent peer from one that answers without a leader.
    def test_a_silence_is_logged_when_it_is_noticed_and_when_it_ends(self) -> None:
        with capture_logs() as lines:
            for now in (0.0, 0.5, 1.5, 2.0):
                self.silences.record_call(PEER, now)
            self.silences.record_connection(PEER)
            self.silences.record_answer(PEER, 4.0)
        self.assertEqual([line["event"] for line in lines], ["peer-silent", "peer-heard"])
        self.assertEqual(lines[0]["seconds"], 1.5)
        self.assertEqual((lines[1]["seconds"], lines[1]["connections"]), (4.0, 2))
        self.assertEqual(self.silences.buckets.sum, 4.0)

    def test_prompt_answers_leave_no_trace(self) -> None:
        with capture_logs() as lines:
            for now in (0.0, 0.4, 0.8):
                self.silences.record_call(PEER, now)
                self.silences.record_answer(PEER, now + 0.1)
        self.assertEqual(lines, [])
        self.assertEqual(self.silences.buckets.observations, 0)
        self.assertEqual(self.silences.find_silence(PEER, 9.0), 0.0)


class LeaderlessSpellsTest(unittest.TestCase):
    def test_a_spell_ends_with_the_next_leader(self) -> None:
        spells = LeaderlessSpells(now=0.0)
        self.assertEqual(spells.record_leader(True, now=0.5), 0.5)
        self.assertEqual(spells.record_leader(False, now=3.0), 0.0)
        self.assertEqual(spells.record_leader(True, now=4.25), 1.25)
        self.assertEqual(spells.record_leader(True, now=5.0), 0.0)
        self.assertEqual(spells.buckets.sum, 1.75)


if __name__ == "__main__":
    unittest.main()
