"""The claims matrix finds no fault in the product, and finds each mechanism that is taken out."""

import unittest
from collections.abc import Sequence

from persimmonusher_agreement.claims import ClaimRequest, ClaimRound
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Roster
from persimmonusher_lab.claims_matrix import find_storm, run_matrix
from persimmonusher_model.identifiers import InstanceId

STORMS = range(1_500)


class ForgetfulRegister(Register):
    """Grants at once after a restart, without reading its share."""

    def has_all_records(self, now: float) -> bool:
        return True


class SingleMajorityRound(ClaimRound):
    """Needs a majority of the newest register set only, also while the roster changes."""

    def __init__(self, request: ClaimRequest, roster: Roster) -> None:
        super().__init__(request, Roster(roster.version, roster.members))


class MinorityRound(ClaimRound):
    """Dispatches with the grants of two of five registers."""

    def _list_grants(self) -> frozenset[InstanceId]:
        grants = super()._list_grants()
        if len(grants) < 2:
            return grants
        return grants | self._first_others(grants)

    def _first_others(self, grants: frozenset[InstanceId]) -> frozenset[InstanceId]:
        others: Sequence[InstanceId] = sorted(self.registers - grants)
        return frozenset(others[:1])


class ClaimsMatrixTest(unittest.TestCase):
    def test_no_single_fault_and_no_pair_grants_a_key_twice(self) -> None:
        report = run_matrix(range(20))
        self.assertEqual([violation.message for violation in report.violations], [])
        self.assertGreater(report.grants, report.cases / 2)

    def test_no_storm_of_faults_grants_a_key_twice(self) -> None:
        self.assertIsNone(find_storm(STORMS))

    def test_a_restarted_register_waits_also_for_a_token_it_has_read(self) -> None:
        # A breeder's entry ran twice. A register granted one claim and restarted; it read back a
        # rival's record from one peer and, as it now held that token, granted the rival before
        # the other peers had told it of the claim it had granted.
        self.assertIsNone(find_storm([25_718]))

    def test_the_matrix_finds_a_register_that_forgets(self) -> None:
        self.assertIsNotNone(find_storm(STORMS, register_type=ForgetfulRegister))

    def test_the_matrix_finds_a_round_without_the_joint_majority(self) -> None:
        self.assertIsNotNone(find_storm(STORMS, round_type=SingleMajorityRound))

    def test_the_matrix_finds_a_dispatch_without_a_majority(self) -> None:
        self.assertIsNotNone(find_storm(STORMS, round_type=MinorityRound))


if __name__ == "__main__":
    unittest.main()
