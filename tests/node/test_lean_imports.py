import subprocess
import sys
import unittest

PROGRAM = """
from gypsumbridge_node import lean_imports

lean_imports.leave_out_tls()
import gypsumbridge_node.gateway.daemon
from twisted.internet import reactor
import hashlib
import sys

print('_ssl' in sys.modules, hashlib.sha256(b'a').hexdigest()[:8])
"""


class LeanImportsTest(unittest.TestCase):
    def test_a_gateway_loads_no_tls(self):
        """Guards against 5 MB in each process for libraries without use.

        Also guards against a library that cannot be imported without them.
        """
        process = subprocess.run(
            [sys.executable, '-c', PROGRAM], capture_output=True, text=True
        )
        self.assertEqual('False ca978112\n', process.stdout, process.stderr)
