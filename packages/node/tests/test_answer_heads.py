"""Heads of answers that are long, or have no end."""

import unittest

from entry_harness import EntryTestCase, answer, send

from persimmonusher_node.answer_reader import MAX_HEAD_BYTES

LINE = "X-More: " + "x" * 6_000
INTERIM = f"HTTP/1.1 102 Wait\r\n{LINE}\r\n\r\n".encode()


class AnswerHeadsTest(EntryTestCase):
    # Guards against heads of megabytes, which a limit of the lines' length and number allows.
    def test_a_head_beyond_its_limit_is_refused(self) -> None:
        lines = [f"{LINE}{number}" for number in range(MAX_HEAD_BYTES // len(LINE) + 1)]
        cases = {"headers": answer(b"ok", "200 OK", *lines), "interim": send(INTERIM * 12)}
        for name, behaviour in cases.items():
            with self.subTest(name):
                self.script(behaviour)
                self.assertEqual(self.call("POST").status, 502)

    # Guards against a limit that counts the lines between the chunks of a long body.
    def test_a_body_of_many_chunks_has_no_limit_of_its_lines(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"1;%s\r\nx\r\n" % (b"e" * 1_000) * 100
        self.script(send(head + chunks + b"0\r\n\r\n"))
        self.assertEqual(self.call("POST").body, b"x" * 100)


if __name__ == "__main__":
    unittest.main()
