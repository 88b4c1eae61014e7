import unittest

from persimmonusher_model.rendezvous import choose_spread, rank


class RendezvousTest(unittest.TestCase):
    def test_a_leaving_member_moves_only_its_own_keys(self) -> None:
        members = [f"entry-{number}" for number in range(12)]
        for key in (f"key-{number}" for number in range(200)):
            first = rank(members, key)[0]
            for gone in members:
                if gone == first:
                    continue
                rest = [member for member in members if member != gone]
                self.assertEqual(rank(rest, key)[0], first)

    def test_a_choice_is_spread_over_failure_domains(self) -> None:
        domains = {f"entry-{number}": f"domain-{number % 4}" for number in range(12)}
        for key in (f"key-{number}" for number in range(100)):
            chosen = choose_spread(domains, key, 5)
            self.assertEqual(len(set(chosen)), 5)
            self.assertEqual(len({domains[member] for member in chosen}), 4)

    def test_choosing_few_is_the_start_of_choosing_many(self) -> None:
        domains = {f"entry-{number}": f"domain-{number % 4}" for number in range(12)}
        for key in (f"key-{number}" for number in range(100)):
            every = choose_spread(domains, key, 12)
            for count in range(1, 12):
                self.assertEqual(choose_spread(domains, key, count), every[:count])

    def test_fewer_members_than_asked_gives_all(self) -> None:
        self.assertEqual(sorted(choose_spread({"a": "x", "b": "x"}, "k", 5)), ["a", "b"])
        self.assertEqual(choose_spread({}, "k", 5), [])


if __name__ == "__main__":
    unittest.main()
