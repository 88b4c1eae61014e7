"""Answers that are no HTTP/1.1, on each way by which answers are read, and legal ones."""

import unittest
from http.client import HTTPException

from entry_harness import PROFILE, Behaviour, CallerAnswer, EntryTestCase, send
from large_body_harness import LargeBodyTestCase, Upload

from persimmonusher_node.dialect import Dialect
from persimmonusher_node.settings import Limits

DIALECT = Dialect(accepts_unframed=True, signature="X-Signature")
SIGNED = b"X-Signature: s"
LENGTH = b"Content-Length: 2"
CHUNKED = b"Transfer-Encoding: chunked"
LONG = b"x" * 300_000
BUFFERED_BYTES = 100_000
SPOILT_LENGTHS = (
    *(b"Content-Length:" + value for value in (b"", b" 2x", b" +2", b" -2", b" 0x2", b" 0_2")),
    b"Content-Length: 2, 2",
    b"Content-Length: 2\r\nContent-Length: 2",
    b"Content-Length: 2\r\nContent-Length: 3",
    b"Content-Length: 2\r\nTransfer-Encoding: chunked",
    b"Content-Length 2",
    b"Content-Le\xeegth: 2",
    b"Transfer-Encoding: chunke",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
)
NO_FIELDS = (b"no field", b"From a", b": no name", b" folded", b"\tfolded", b"\r", b"\x00")
SPOILT_NAMES = (
    *(b"X%cName: a" % byte for byte in b" \t\r\x00\x01\x1f\x7f\x80\xff(/@"),
    b"X-Name : a",
    b" X-Name: a",
)
SPOILT_VALUES = (b"X-Name: a\rX-Next: b", b"X-Name: a\x00b", b"X-Name: \x1b", b"X-Name: a\nb")
SPOILT_STATUS_LINES = (
    *(b"HTTP/1.1 %s OK" % status for status in (b"0200", b"2_0", b"+20", b"20", b"2000", b"2x0")),
    *(b"HTTP/1.1 %s OK" % status for status in (b"099", b"600", b"999", b"\xb2\xb0\xb0")),
    *(version + b" 200 OK" for version in (b"HTTP/1.x", b"HTTP/2", b"HTTP/1.1 ", b"XHTTP/1.1")),
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1\t200 OK",
)
SPOILT_CHUNKS = (
    *(b"%s\r\nok\r\n0\r\n\r\n" % size for size in (b"+2", b"0x2", b" 2", b"2_", b"", b"2 x", b"g")),
    b"2\r\nokxx0\r\n\r\n",
    b"2\r\nok\n\n0\r\n\r\n",
    b"2\nok\r\n0\r\n\r\n",
    b"2;a\rb\r\nok\r\n0\r\n\r\n",
    *(b"2\r\nok\r\n0\r\n%s\r\n\r\n" % line for line in (*NO_FIELDS, *SPOILT_NAMES)),
)
LEGAL = {
    "length": (b"HTTP/1.1 200 OK", (SIGNED, LENGTH), b"ok"),
    "no reason": (b"HTTP/1.1 200 ", (SIGNED, LENGTH), b"ok"),
    "nothing behind the status": (b"HTTP/1.1 200", (SIGNED, LENGTH), b"ok"),
    "no length": (b"HTTP/1.1 200 OK", (SIGNED,), b"ok"),
    "HTTP/1.0": (b"HTTP/1.0 200 OK", (SIGNED,), b"ok"),
    "HTTP/1.0 with a length": (b"HTTP/1.0 200 OK", (SIGNED, LENGTH), b"ok"),
    "chunks": (b"HTTP/1.1 200 OK", (SIGNED, CHUNKED), b"1\r\no\r\n01;a=b\r\nk\r\n0\r\n\r\n"),
    "trailers": (b"HTTP/1.1 200 OK", (SIGNED, CHUNKED), b"2 \r\nok\r\n0;x\r\nX-T: a\r\n\r\n"),
    "blanks": (b"HTTP/1.1 200 OK", (SIGNED, b"content-length:\t02 ", b"X-E:", b"X-C: :;"), b"ok"),
    "other bytes": (b"HTTP/1.1 200 \xe9", (SIGNED, LENGTH, b"X-B: \xe9\t\xff"), b"ok"),
    "coding's case": (
        b"HTTP/1.1 200 OK",
        (SIGNED, b"TRANSFER-ENCODING:Chunked\t"),
        b"2\r\nok\r\n0\r\n\r\n",
    ),
}
LEGAL_INTERIM = (b"100 Continue", b"102 Processing", b"103 Early Hints\r\nLink: </s>", b"199 X")


def make_head(status_line: bytes, *lines: bytes) -> bytes:
    return b"\r\n".join((status_line, *lines, b"", b""))


def list_spoilt_heads() -> dict[str, bytes]:
    """Return heads of a body of two bytes by what is wrong with them."""
    ok = b"HTTP/1.1 200 OK"
    heads = {repr(line): make_head(ok, SIGNED, line) for line in SPOILT_LENGTHS}
    for line in (*NO_FIELDS, *SPOILT_NAMES, *SPOILT_VALUES):
        heads[f"{line!r} first"] = make_head(ok, line, SIGNED, LENGTH)
        heads[f"{line!r} last"] = make_head(ok, SIGNED, LENGTH, line)
    for line in SPOILT_STATUS_LINES:
        heads[repr(line)] = make_head(line, SIGNED, LENGTH)
    heads["HTTP/1.0 in chunks"] = make_head(b"HTTP/1.0 200 OK", SIGNED, CHUNKED)
    heads["line feeds only"] = make_head(ok, SIGNED, LENGTH).replace(b"\r\n", b"\n")
    return heads


SPOILT_HEADS = list_spoilt_heads()


class BrokenAnswerTestCase(EntryTestCase):
    server_names = ("s1",)
    profile = PROFILE.model_copy(update={"max_retries": 0, "retry_budget_percent": 0})
    limits = Limits(buffered_answer_bytes=BUFFERED_BYTES)
    dialect = DIALECT

    def exchange(self, behaviour: Behaviour) -> CallerAnswer:
        """Return the answer to a request to which a server behaves like this."""
        self.requests = getattr(self, "requests", 0) + 1
        self.script(behaviour)
        return self.call("POST", f"/{self.requests}", connection=self.connect())

    def check_broken(self, raw: bytes) -> None:
        answer = self.exchange(send(raw))
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
        self.assertNotIn("x-signature", answer.headers)


class BrokenAnswersTest(BrokenAnswerTestCase):
    # Guards against answers whose head leaves open where their body ends, or holds no fields.
    def test_a_spoilt_head_is_no_answer(self) -> None:
        for name, head in SPOILT_HEADS.items():
            with self.subTest(name):
                self.check_broken(head + b"ok")

    # Guards against spoilt heads that pass where they stand before the final answer's.
    def test_a_spoilt_interim_head_is_no_answer(self) -> None:
        final = make_head(b"HTTP/1.1 200 OK", SIGNED, LENGTH) + b"ok"
        for line in (*NO_FIELDS, *SPOILT_NAMES, *SPOILT_VALUES):
            with self.subTest(line):
                self.check_broken(make_head(b"HTTP/1.1 102 Wait", line) + final)
        for line in SPOILT_STATUS_LINES:
            with self.subTest(line):
                self.check_broken(make_head(line.replace(b"200", b"102")) + final)
        self.check_broken(make_head(b"HTTP/1.1 101 Switching", b"Upgrade: x") + final)

    # Guards against a status that means nothing and reaches callers.
    def test_status_000_is_no_answer(self) -> None:
        for method in ("POST", "GET", "HEAD"):
            self.script(send(make_head(b"HTTP/1.1 000 OK", SIGNED, LENGTH) + b"ok"))
            answer = self.call(method, "/000")
            self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
            self.assertNotIn("x-signature", answer.headers)

    # Guards against chunks and trailers that are spoilt and taken for the end of a body.
    def test_spoilt_chunks_are_no_answer(self) -> None:
        for chunks in SPOILT_CHUNKS:
            with self.subTest(chunks):
                self.check_broken(make_head(b"HTTP/1.1 200 OK", SIGNED, CHUNKED) + chunks)

    # Guards against the same behind the part of a body that is sent on as it arrives.
    def test_spoilt_chunks_end_a_streamed_answer_early(self) -> None:
        head = make_head(b"HTTP/1.1 200 OK", SIGNED, CHUNKED) + b"%x\r\n%s\r\n" % (len(LONG), LONG)
        for chunks in SPOILT_CHUNKS:
            with self.subTest(chunks), self.assertRaises((HTTPException, OSError)):
                self.exchange(send(head + chunks))


class RepeatedAfterBrokenAnswersTest(EntryTestCase):
    dialect = DIALECT

    # Guards against lookups that fail though another server would answer them.
    def test_a_lookup_is_sent_to_another_server(self) -> None:
        for line in (b"Content-Length: 2x", b"Content-Length 2"):
            bad, good = self.servers
            bad.default = send(SPOILT_HEADS[repr(line)] + b"ok")
            good.default = send(make_head(b"HTTP/1.1 200 OK", SIGNED, LENGTH) + b"ok")
            for number in range(4):
                self.assertEqual(self.call(target=f"/{number}").body, b"ok")
        self.assertTrue(bad.ran)


class BrokenAnswersToUploadsTest(LargeBodyTestCase):
    server_names = ("s1",)
    dialect = DIALECT

    # Guards against spoilt heads that pass where the body is sent on as it arrives.
    def test_a_spoilt_head_is_no_answer(self) -> None:
        for name, head in SPOILT_HEADS.items():
            with self.subTest(name):

                def answer_all(upload: Upload, raw: bytes = head + b"ok") -> None:
                    upload.read(lambda one: bool(one.head) and one.is_complete)
                    upload.connection.sendall(raw)

                self.set_act(answer_all)
                answer = self.upload(self.open(100_000), b"x" * 100_000)
                self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
                self.assertNotIn("x-signature", answer.headers)


class LegalAnswersTest(BrokenAnswerTestCase):
    # Guards against legal answers that are refused along with spoilt ones.
    def test_legal_answers_are_served(self) -> None:
        for name, (status_line, lines, body) in LEGAL.items():
            for interim in (b"", *LEGAL_INTERIM):
                with self.subTest(name, interim=interim):
                    before = make_head(b"HTTP/1.1 " + interim) if interim else b""
                    answer = self.exchange(send(before + make_head(status_line, *lines) + body))
                    self.assertEqual((answer.status, answer.body), (200, b"ok"))
                    self.assertEqual(answer.headers["x-signature"], "s")

    # Guards against answers without a body that are waited for until the deadline.
    def test_answers_without_a_body_are_served(self) -> None:
        for method, status in (("HEAD", 200), ("GET", 304), ("POST", 204), ("GET", 204)):
            for line in (b"X-Name: a", b"Content-Length: 7", CHUNKED):
                if status == 204 and line is CHUNKED:
                    continue
                with self.subTest(method, status=status, line=line):
                    self.script(send(make_head(b"HTTP/1.1 %d X" % status, SIGNED, line), True))
                    answer = self.call(method, f"/{method}{status}")
                    self.assertEqual((answer.status, answer.body), (status, b""))


if __name__ == "__main__":
    unittest.main()
