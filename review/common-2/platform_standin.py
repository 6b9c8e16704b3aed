"""Run the project's stand-in of the platform with pages of 1 MB at most.

The users' pages bound a page of rows to 500 rows or 1 MB; the stand-in
bounds only the rows.
"""

import dataclasses

from standins import platform
from standins import rowtable

MAX_PAGE_BYTES = 1_000_000


class PagedClient(rowtable.RowClient):
    """Table client whose pages of rows end at 1 MB."""

    async def read(self, key_range):
        """Return one page of a key range."""
        page = await super().read(key_range)
        kept = []
        size = 0
        for row in page.rows:
            # Values are sent as base64.
            size += len(row.value) * 4 // 3 + 200
            if kept and size > MAX_PAGE_BYTES:
                return dataclasses.replace(
                    page, rows=tuple(kept), has_more=True
                )
            kept.append(row)
        return page


rowtable.RowClient = PagedClient
platform.main()
