import heapq
import random
import unittest

from gypsumbridge_decisions import forwarding


class TopRecordsTest(unittest.TestCase):
    def test_parts_in_any_order_give_the_greatest_records(self):
        """Guards against a merge that drops equal or early records."""
        rng = random.Random(7)
        for top_k in (0, 1, 5, 50):
            for _ in range(50):
                parts = [
                    [
                        bytes([rng.randrange(4)]) * 15 + rng.randbytes(1)
                        for _ in range(rng.randrange(70))
                    ]
                    for _ in range(rng.randrange(1, 9))
                ]
                top = forwarding.TopRecords(top_k)
                for part in parts:
                    top.add(b''.join(part) + b'rest')
                every = [record for part in parts for record in part]
                expected = b''.join(heapq.nlargest(top_k, every))
                self.assertEqual(expected, top.body())
