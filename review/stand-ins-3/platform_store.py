"""Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import bisect
import json
import time

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS = 500
MAX_READ_BYTES = 1_000_000


class Store:
    """Rows with versions, transactions and a feed of changes."""

    def __init__(self, row_bytes=65536, tx_ms=4.0):
        self.row_bytes = row_bytes
        self.tx_ms = tx_ms
        self.rows = {}
        self.version = 1000
        self.changes = []
        self.changed = asyncio.Event()
        # Called with the parsed body of each transaction before it is performed; the result is
        # None, or "silent" (not performed), "late" (performed, not answered).
        self.on_transaction = None
        self.refused = {}

    def put(self, table, key, value):
        """Writes a row on behalf of the operator or a minion."""
        self.version += 1
        self._write((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._notify()

    def remove(self, table, key):
        name = (table, "", key)
        if name in self.rows:
            self.version += 1
            del self.rows[name]
            self.changes.append((self.version, name))
            self._notify()

    def _write(self, name, value):
        self.rows[name] = (value, self.version)
        self.changes.append((self.version, name))

    def _notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _encode(self, name, deleted_at=None):
        row = {"Table": name[0], "part": name[1], "Key": name[2]}
        if name in self.rows:
            row["Value"], row["Ver"] = self.rows[name]
        else:
            row["Deleted"] = True
            row["Ver"] = deleted_at or self.version
        return row

    def _envelope(self, **fields):
        return {**fields, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return 400, {"Error": reason}

    def transact(self, body, size):
        name_of = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
        conditions = body.get("ExpectedRev") or []
        writes = body.get("Writes") or []
        removals = body.get("Remove") or []
        entries = conditions + writes + removals
        if size > MAX_CALL_BYTES:
            return self._refuse("a call holds at most 1 MB")
        if not entries or len(entries) > MAX_ENTRIES:
            return self._refuse("a call holds at most 100 entries")
        if any(name_of(entry)[0] in ("op", "servers") for entry in writes + removals):
            return 403, {}
        if len({name_of(entry)[1] for entry in entries}) > 1 and not body.get("Across"):
            return self._refuse("all entries share a single part")
        for entry in writes:
            if len(base64.b64decode(entry.get("Value", ""))) > self.row_bytes:
                return self._refuse("a value has at most RowBytes")
        if any(self.rows.get(name_of(c), ("", 0))[1] != c["Ver"] for c in conditions):
            rows = [self._encode(name_of(c)) for c in conditions if name_of(c) in self.rows]
            return 412, self._envelope(rows=rows)
        self.version += 1
        for entry in writes:
            self._write(name_of(entry), entry.get("Value", ""))
        for entry in removals:
            if self.rows.pop(name_of(entry), None):
                self.changes.append((self.version, name_of(entry)))
        self._notify()
        return 200, self._envelope()

    def read(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        start, end = query.get("From", ""), query.get("Target")
        limit = min(MAX_ROWS, int(query.get("Limit", MAX_ROWS)))
        names = sorted(
            name
            for name in self.rows
            if name[0] == table
            and name[1] == part
            and name[2] >= start
            and (not end or name[2] < end)
        )
        rows, size = [], 0
        for name in names:
            if len(rows) == limit or size > MAX_READ_BYTES:
                break
            rows.append(self._encode(name))
            size += len(rows[-1].get("Value", ""))
        return 200, self._envelope(rows=rows, HasMore=len(rows) < len(names))

    async def feed(self, query):
        table, after = query.get("Table", ""), int(query.get("After", 0))
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            event = self.changed
            first = bisect.bisect_right(self.changes, (after, ("\U0010ffff",)))
            latest = {}
            for version, name in self.changes[first:]:
                if name[0] == table:
                    latest[name] = version
            left = deadline - time.monotonic()
            if latest or left <= 0:
                ordered = sorted(latest.items(), key=lambda item: item[1])
                return 200, self._envelope(rows=[self._encode(n, v) for n, v in ordered])
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/rows-tx":
            request = json.loads(body)
            fate = self.on_transaction(request) if self.on_transaction else None
            if fate == "silent":
                return None
            await asyncio.sleep(self.tx_ms / 1000 * (2 if request.get("Across") else 1))
            result = self.transact(request, len(body))
            return None if fate == "late" else result
        if path == "/v1/rows-get":
            await asyncio.sleep(self.tx_ms / 1000)
            return self.read(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}
