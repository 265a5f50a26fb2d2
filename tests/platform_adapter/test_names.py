import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A selection of names that only the adapter may know.
NAMES = re.compile(
    r'gypsumbridge-(request|deadline|server|expect|not|instance|part|missing)'
    r'|kv-(key|range|watch|txn|lease|keep)|op/config|routeType|trafficSplit'
    r'|targetLatencyMs|maxAttempts|minCoverage|topK|warmupLeftMs'
    r'|storeRevision|hasMore|internalPortRange|GYPSUMBRIDGE_NODE_FILE',
    re.IGNORECASE,
)
PLATFORM_SHARE = 20


def sources(folder):
    return sorted((ROOT / folder).rglob('*.py'))


def line_count(paths):
    return sum(
        len(path.read_text(encoding='utf-8').splitlines()) for path in paths
    )


class NamesTest(unittest.TestCase):
    def test_only_the_adapter_knows_the_platforms_names(self):
        """Guards against platform names that leak into the product."""
        for path in sources('packages'):
            with self.subTest(path=str(path.relative_to(ROOT))):
                found = NAMES.search(path.read_text(encoding='utf-8'))
                self.assertIsNone(found)

    def test_the_adapter_stays_small(self):
        """Guards against decisions that move into the adapter."""
        adapter = line_count(sources('platform'))
        product = line_count(sources('packages'))
        self.assertLess(adapter * PLATFORM_SHARE, product)

    def test_the_folder_is_no_package(self):
        """Guards against hiding the standard module `platform`."""
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())
