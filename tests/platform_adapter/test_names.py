import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A selection of the platform's names, which only the adapter may contain.
NAMES = re.compile(
    r'gypsumbridge-(request|deadline|server|expect|not|instance|part|missing'
    r'|credential|tenant)|tenants|apiKeys|ratePerS|allowedRegions'
    r'|kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|routeType'
    r'|trafficSplit|targetLatencyMs|maxAttempts|minCoverage|topK|warmupLeftMs'
    r'|storeRevision|hasMore|internalPortRange|GYPSUMBRIDGE_NODE_FILE'
    r'|store-era',
    re.IGNORECASE,
)
MIN_PRODUCT_RATIO = 20


def sources(folder):
    return sorted((ROOT / folder).rglob('*.py'))


def line_count(paths):
    return sum(
        len(path.read_text(encoding='utf-8').splitlines()) for path in paths
    )


class NamesTest(unittest.TestCase):
    def test_only_the_adapter_has_the_platforms_names(self):
        """Guards against platform names in the product's packages."""
        for path in sources('packages'):
            with self.subTest(path=str(path.relative_to(ROOT))):
                match = NAMES.search(path.read_text(encoding='utf-8'))
                self.assertIsNone(match)

    def test_the_adapter_stays_small(self):
        """Guards against decisions that move into the adapter."""
        adapter = line_count(sources('platform'))
        product = line_count(sources('packages'))
        self.assertLess(adapter * MIN_PRODUCT_RATIO, product)

    def test_the_folder_is_not_a_package(self):
        """Guards against shadowing the standard module `platform`."""
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())
