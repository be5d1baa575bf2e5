"""What the records of the metadata store change."""

from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.declared.view import DeclaredView
from lagoonflow.platform.store import CONFIGURATION_KEY
from lagoonflow.wiring.platform_feeds import ConfigurationFeed

CONFIGURATION = b'{"version":3,"routes":[],"services":[],"limits":{}}'
RECORD = KeyedRecord(CONFIGURATION_KEY, CONFIGURATION)


def test_a_page_that_lacks_records_does_not_confirm_the_configuration():
    view = DeclaredView()
    feed = ConfigurationFeed(view, lambda: None)
    feed.on_page(RecordPage((RECORD,), 3), True, 1000)
    feed.on_page(RecordPage((), 3, is_current=False), False, 2000)
    assert view.confirmed_at_ms == 1000
    feed.on_page(RecordPage((), 3), False, 3000)
    assert view.confirmed_at_ms == 3000
