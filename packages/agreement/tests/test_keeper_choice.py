"""Which keeper entries follow, in failure domains with and without a keeper."""

import unittest
from random import Random

from persimmonusher_agreement.keeper_choice import KeeperChoice, KeeperPlace

PLACES = tuple(KeeperPlace(f"10.{number}.0.1:7000", f"d{number}") for number in range(1, 6))
DOMAIN_WITHOUT_KEEPER = "d6"
ENTRIES = 46


def make_choices(domain: str) -> list[KeeperChoice]:
    return [KeeperChoice(domain, Random(number)) for number in range(ENTRIES)]


class KeeperChoiceTest(unittest.TestCase):
    def test_a_keeper_of_the_own_domain_comes_first(self) -> None:
        for place in PLACES:
            for choice in make_choices(place.failure_domain):
                self.assertEqual(choice.choose(PLACES, 0.0), place)
                self.assertIsNone(choice.find_better(place, PLACES, 0.0))

    def test_entries_of_a_domain_without_a_keeper_follow_the_same_one(self) -> None:
        """Each keeper adds up the requests in progress of the entries that follow it.

        When these entries followed five different keepers, no keeper knew the load of that domain's
        servers, and the entries overloaded some servers while others were idle.
        """
        chosen = {choice.choose(PLACES, 0.0) for choice in make_choices(DOMAIN_WITHOUT_KEEPER)}
        self.assertEqual(len(chosen), 1)

    def test_they_turn_to_the_same_next_one_and_come_back(self) -> None:
        """The keeper that a domain's entries follow is lost for some seconds."""
        choices = make_choices(DOMAIN_WITHOUT_KEEPER)
        first = choices[0].choose(PLACES, 0.0)
        for choice in choices:
            choice.avoid_until(first.address, 5.0)
        seconds = {choice.choose(PLACES, 1.0) for choice in choices}
        self.assertEqual(len(seconds), 1)
        (second,) = seconds
        self.assertNotEqual(second, first)
        for choice in choices:
            self.assertIsNone(choice.find_better(second, PLACES, 1.0))
            self.assertEqual(choice.find_better(second, PLACES, 5.1), first)

    def test_an_entry_goes_home_when_a_keeper_is_there(self) -> None:
        home = KeeperPlace("10.6.0.1:7000", DOMAIN_WITHOUT_KEEPER)
        choice = KeeperChoice(DOMAIN_WITHOUT_KEEPER, Random(1))
        followed = choice.choose(PLACES, 0.0)
        self.assertEqual(choice.find_better(followed, (*PLACES, home), 0.0), home)

    def test_several_keepers_at_home_share_the_entries(self) -> None:
        places = (*PLACES, KeeperPlace("10.1.0.2:7000", "d1"))
        chosen = [choice.choose(places, 0.0).address for choice in make_choices("d1")]
        self.assertEqual(set(chosen), {"10.1.0.1:7000", "10.1.0.2:7000"})

    def test_where_all_are_avoided_the_one_whose_time_ends_first_is_asked(self) -> None:
        choice = KeeperChoice("d1", Random(1))
        for number, place in enumerate(PLACES):
            choice.avoid_until(place.address, 5.0 - number)
        self.assertEqual(choice.choose(PLACES, 0.0), PLACES[-1])
        self.assertIsNone(choice.find_better(PLACES[1], PLACES, 0.0))


if __name__ == "__main__":
    unittest.main()
