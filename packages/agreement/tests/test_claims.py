import unittest

from persimmonusher_agreement.claims import (
    ClaimRequest,
    ClaimRound,
    RecordState,
    RoundStatus,
    Settlement,
    Vote,
    VoteKind,
)
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Member, Observation, Roster, RosterPlanner
from persimmonusher_model.identifiers import FailureDomain, InstanceId

WINDOW_SECONDS = 600.0
NAMES = [InstanceId(name) for name in ("r", "b", "c", "d", "e")]


def make_members(names: list[InstanceId], boot: int = 1) -> tuple[Member, ...]:
    return tuple(Member(name, FailureDomain(f"domain-{name}"), boot) for name in names)


ROSTER = Roster(1, make_members(NAMES))


def make_request(token: str, version: int = 1, fingerprint: str = "entry") -> ClaimRequest:
    return ClaimRequest("key", token, fingerprint, version, WINDOW_SECONDS, 10.0)


class RegisterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registers = {name: self.start(name, 1) for name in NAMES}

    def start(self, name: InstanceId, boot: int, now: float = 0.0) -> Register:
        register = Register(name, boot, WINDOW_SECONDS, now)
        register.replace_roster(ROSTER)
        return register

    def read_share(self, reader: Register, peers: str, now: float = 1.0) -> None:
        for peer in peers:
            answer = self.registers[InstanceId(peer)].export_share(reader.make_share_request(), now)
            reader.import_share(answer, now)

    def test_a_key_is_granted_once(self) -> None:
        register = self.registers[NAMES[0]]
        self.assertEqual(register.claim(make_request("t1"), 0.0).kind, VoteKind.GRANTED)
        self.assertEqual(register.claim(make_request("t1"), 1.0).kind, VoteKind.GRANTED)
        vote = register.claim(make_request("t2"), 2.0)
        self.assertEqual(vote.kind, VoteKind.TAKEN)
        assert vote.record is not None
        self.assertEqual((vote.record.token, vote.record.pending_for), ("t1", 8.0))

    def test_states_that_a_resend_is_told(self) -> None:
        cases = [
            ("still running", None, 5.0, RecordState.PENDING),
            ("claimant lost", None, 11.0, RecordState.UNKNOWN),
            ("finished", RecordState.FINISHED, 11.0, RecordState.FINISHED),
            ("given up on", RecordState.UNKNOWN, 1.0, RecordState.UNKNOWN),
        ]
        for story, settled, now, expected in cases:
            with self.subTest(story):
                register = self.start(NAMES[0], 1)
                register.claim(make_request("t1"), 0.0)
                if settled is not None:
                    register.settle(Settlement("key", "t1", settled, b"answer"), 0.5)
                record = register.claim(make_request("t2"), now).record
                assert record is not None
                self.assertEqual(record.state, expected)

    def test_a_claim_that_arrives_after_its_release_does_not_hold_the_key(self) -> None:
        # A request is refused as not run, but each resend is answered that it is still running: the
        # release of the claim arrived before the claim itself, which then held the key.
        register = self.registers[NAMES[0]]
        register.settle(Settlement("key", "t1", None), 0.0)
        self.assertEqual(register.claim(make_request("t1"), 0.1).kind, VoteKind.ABSTAINED)
        self.assertEqual(register.claim(make_request("t2"), 0.2).kind, VoteKind.GRANTED)

    def test_a_key_is_free_again_after_its_window(self) -> None:
        register = self.registers[NAMES[0]]
        register.claim(make_request("t1"), 0.0)
        self.assertEqual(
            register.claim(make_request("t2"), WINDOW_SECONDS - 1).kind, VoteKind.TAKEN
        )
        self.assertEqual(
            register.claim(make_request("t2"), WINDOW_SECONDS + 1).kind, VoteKind.GRANTED
        )
        self.assertEqual(register.record_count, 1)

    def test_a_restarted_register_abstains_until_it_has_read_three_peers(self) -> None:
        # A request ran twice: a register granted its claim, restarted with empty memory, and
        # granted the same key to a resend through another instance.
        for name in "rbc":
            self.registers[InstanceId(name)].claim(make_request("t1"), 0.0)
        reborn = self.start(NAMES[0], 2)
        self.read_share(reborn, "de")
        self.assertEqual(reborn.claim(make_request("t2"), 1.0).kind, VoteKind.ABSTAINED)
        self.read_share(reborn, "c")
        self.assertEqual(reborn.claim(make_request("t2"), 1.0).kind, VoteKind.TAKEN)

    def test_a_release_of_a_rival_does_not_uncover_a_lost_grant(self) -> None:
        # A request ran twice: a restarted register read back the record of the winner and that of a
        # losing rival; when the rival released its claim, the register held nothing.
        for name in "rbc":
            self.registers[InstanceId(name)].claim(make_request("winner"), 0.0)
        self.registers[InstanceId("d")].claim(make_request("rival"), 0.0)
        reborn = self.start(NAMES[0], 2)
        self.read_share(reborn, "dbc")
        reborn.settle(Settlement("key", "rival", None), 1.0)
        self.assertEqual(reborn.claim(make_request("t3"), 1.0).kind, VoteKind.TAKEN)

    def test_a_vote_of_an_earlier_boot_does_not_count(self) -> None:
        # A request ran twice: register r granted t1 and restarted; it read b, d and e before t1
        # reached b and c, found nothing, and granted t2. t1 still counted r's old grant.
        first = ClaimRound(make_request("t1"), ROSTER)
        first.receive(self.registers[NAMES[0]].claim(first.request, 0.0))
        self.registers[NAMES[0]] = reborn = self.start(NAMES[0], 2)
        self.read_share(reborn, "bde")
        second = ClaimRound(make_request("t2"), ROSTER)
        for name in "rde":
            second.receive(self.registers[InstanceId(name)].claim(second.request, 1.0))
        self.assertEqual(second.status, RoundStatus.GRANTED)
        for name in "bc":
            first.receive(self.registers[InstanceId(name)].claim(first.request, 1.0))
        self.assertNotEqual(first.status, RoundStatus.GRANTED)

    def test_known_boots_survive_a_second_restart(self) -> None:
        # As above, but b restarts too before t1 reaches it, and must read r's new boot back.
        first = ClaimRound(make_request("t1"), ROSTER)
        first.receive(self.registers[NAMES[0]].claim(first.request, 0.0))
        self.registers[NAMES[0]] = self.start(NAMES[0], 2)
        self.read_share(self.registers[NAMES[0]], "bde")
        self.registers[NAMES[1]] = self.start(NAMES[1], 2)
        self.read_share(self.registers[NAMES[1]], "cde")
        for name in "bc":
            first.receive(self.registers[InstanceId(name)].claim(first.request, 1.0))
        self.assertNotEqual(first.status, RoundStatus.GRANTED)

    def test_a_wall_clock_that_went_back_does_not_revive_old_votes(self) -> None:
        # A request ran twice: the wall clock went back over a restart, so the boot of the new start
        # was below that of the old one, and a vote from before the restart counted as newer.
        roster = Roster(1, make_members(NAMES, boot=50))
        registers = {}
        for name in NAMES:
            registers[name] = Register(name, 50, WINDOW_SECONDS, 0.0)
            registers[name].replace_roster(roster)
        reborn = Register(NAMES[0], 20, WINDOW_SECONDS, 0.0)
        reborn.replace_roster(roster)
        self.assertEqual(reborn.boot, 51)
        for name in NAMES[1:4]:
            request = reborn.make_share_request()
            reborn.import_share(registers[name].export_share(request, 1.0), 1.0)
        again = Register(NAMES[0], 30, WINDOW_SECONDS, 1.0)
        again.import_share(registers[NAMES[1]].export_share(again.make_share_request(), 2.0), 2.0)
        self.assertEqual(again.boot, 52)
        again.replace_roster(roster)
        self.assertEqual(len(again.list_unread_peers()), 4)

    def test_a_restarted_register_waits_for_a_roster_that_peers_know(self) -> None:
        # The restarted instance got its configuration from an instance that lags behind; its peers
        # hold claims under a newer roster, which the restarted one doesn't know.
        newer = Roster(2, ROSTER.members, ROSTER.members)
        for name in "bcde":
            self.registers[InstanceId(name)].replace_roster(newer)
        reborn = self.start(NAMES[0], 2)
        self.read_share(reborn, "bcde")
        self.assertEqual(reborn.claim(make_request("t1"), 1.0).kind, VoteKind.ABSTAINED)
        reborn.replace_roster(newer)
        vote = reborn.claim(make_request("t1", version=2), 1.0)
        self.assertEqual(vote.kind, VoteKind.GRANTED)

    def test_a_register_refuses_an_older_roster_and_abstains_under_a_newer_one(self) -> None:
        # An instance that is cut off from the keepers claims under a roster two versions old, whose
        # majorities may share no register with those of the roster in force.
        register = self.registers[NAMES[0]]
        register.replace_roster(Roster(2, ROSTER.members, ROSTER.members))
        cases = [(1, VoteKind.STALE_ROSTER), (2, VoteKind.GRANTED), (3, VoteKind.ABSTAINED)]
        for version, expected in cases:
            with self.subTest(version):
                vote = register.claim(make_request("t1", version), 0.0)
                self.assertEqual(vote.kind, expected)

    def test_a_share_read_from_a_peer_that_is_behind_does_not_count(self) -> None:
        reborn = self.start(NAMES[0], 2)
        reborn.replace_roster(Roster(2, ROSTER.members, ROSTER.members))
        self.read_share(reborn, "bcde")
        self.assertEqual(len(reborn.list_unread_peers()), 4)


class ClaimRoundTest(unittest.TestCase):
    def vote(self, name: str, kind: VoteKind) -> Vote:
        return Vote(InstanceId(name), 1, kind)

    def test_status_by_votes(self) -> None:
        g, a = VoteKind.GRANTED, VoteKind.ABSTAINED
        cases = [
            ([g, g], RoundStatus.OPEN),
            ([g, g, g], RoundStatus.GRANTED),
            ([g, g, a, a], RoundStatus.OPEN),
            ([a, a, a], RoundStatus.NO_QUORUM),
        ]
        for votes, expected in cases:
            with self.subTest(votes=[vote.value for vote in votes]):
                claim_round = ClaimRound(make_request("t1"), ROSTER)
                for name, kind in zip(NAMES, votes, strict=False):
                    claim_round.receive(self.vote(name, kind))
                self.assertEqual(claim_round.status, expected)

    def test_both_register_sets_must_grant_while_the_roster_changes(self) -> None:
        others = make_members([InstanceId(name) for name in ("v", "w", "x", "y", "z")])
        claim_round = ClaimRound(make_request("t1", 2), Roster(2, others, ROSTER.members))
        for name in "vwxyz":
            claim_round.receive(self.vote(name, VoteKind.GRANTED))
        self.assertEqual(claim_round.status, RoundStatus.OPEN)
        for name in "rbc":
            claim_round.receive(self.vote(name, VoteKind.GRANTED))
        self.assertEqual(claim_round.status, RoundStatus.GRANTED)


class RosterPlannerTest(unittest.TestCase):
    def observe(self, names: list[InstanceId], version: int) -> list[Observation]:
        return [Observation(member, version) for member in make_members(names, boot=9)]

    def test_the_first_version_waits_for_enough_instances_that_stay(self) -> None:
        planner = RosterPlanner(founding_size=5, settle_seconds=2.0)
        self.assertIsNone(planner.plan(None, self.observe(NAMES[:4], 0), WINDOW_SECONDS, 0.0))
        self.assertIsNone(planner.plan(None, self.observe(NAMES[:4], 0), WINDOW_SECONDS, 9.0))
        self.assertIsNone(planner.plan(None, self.observe(NAMES, 0), WINDOW_SECONDS, 10.0))
        founded = planner.plan(None, self.observe(NAMES, 0), WINDOW_SECONDS, 12.5)
        assert founded is not None
        self.assertEqual((founded.version, len(founded.members)), (1, 5))

    def test_a_later_version_waits_for_all_but_two_and_for_the_window(self) -> None:
        planner = RosterPlanner(founding_size=5, settle_seconds=0.0)
        roster = Roster(2, make_members(NAMES))
        lagging = self.observe(NAMES[:2], 2) + self.observe(NAMES[2:4], 1)
        applied = self.observe(NAMES[:3], 2) + self.observe(NAMES[3:4], 1)
        self.assertIsNone(planner.plan(roster, lagging, WINDOW_SECONDS, 0.0))
        self.assertIsNone(planner.plan(roster, lagging, WINDOW_SECONDS, 5_000.0))
        self.assertIsNone(planner.plan(roster, applied, WINDOW_SECONDS, 5_001.0))
        self.assertIsNone(planner.plan(roster, applied, WINDOW_SECONDS, 5_600.0))
        planned = planner.plan(roster, applied, WINDOW_SECONDS, 5_602.0)
        assert planned is not None
        self.assertEqual(planned.version, 3)
        self.assertEqual({member.boot for member in planned.members}, {1})


if __name__ == "__main__":
    unittest.main()
