import unittest

from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import (
    Organisation,
    OrganisationBook,
    check_organisations,
    digest_key,
)

ACME = Organisation(CallerId("acme"), (digest_key("a1"), digest_key("a2")))
BERG = Organisation(CallerId("berg"), (digest_key("b1"),))


class OrganisationsTest(unittest.TestCase):
    def test_a_key_leads_to_the_one_organisation_that_holds_it(self) -> None:
        book = OrganisationBook([ACME, BERG])
        self.assertIs(book.find_by_key(digest_key("a2")), ACME)
        self.assertIs(book.find_by_key(digest_key("b1")), BERG)
        self.assertIsNone(book.find_by_key(digest_key("A1")))
        self.assertIs(book.find(CallerId("berg")), BERG)

    def test_a_shared_key_or_name_is_found_with_its_place(self) -> None:
        """Guards against a request that could be attributed to either of two organisations."""
        thief = Organisation(CallerId("thief"), (digest_key("t1"), digest_key("a1")))
        namesake = Organisation(CallerId("acme"), ())
        cases = [
            ((ACME, BERG), []),
            ((ACME, thief), ["organisations.1.keys.1"]),
            ((ACME, BERG, namesake), ["organisations.2.name"]),
        ]
        for organisations, places in cases:
            with self.subTest(places):
                findings = list(check_organisations(organisations))
                self.assertEqual([finding.path for finding in findings], places)

    def test_no_key_shows_where_an_organisation_is_printed(self) -> None:
        """Guards against API keys in logs and crash reports, which print objects by `repr`."""
        secret = "planted-key"
        shown = repr(Organisation(CallerId("acme"), (digest_key(secret),)))
        self.assertNotIn(secret, shown)
