"""Contract of the stand-in for the weight store."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from carobspool_standins._client import HttpClient
from carobspool_standins.weights import WeightsSettings, make_application


def test_rate_is_shared(serve):
    """Two concurrent downloads share the rate, so take as long as two in sequence."""
    client = serve(make_application(WeightsSettings(port=0, bytes_per_second=2_000_000)))
    start = time.monotonic()
    with ThreadPoolExecutor(2) as pool:
        calls = [
            pool.submit(HttpClient(client.base).call, "GET", "/weights/m/1?bytes=200000")
            for _ in range(2)
        ]
        assert [len(call.result().body) for call in calls] == [200_000, 200_000]
    assert time.monotonic() - start >= 0.19
    assert client.call("GET", "/calls").json == {"calls": 2, "refused": 0, "bytes": 400_000}


def test_download_slots_are_limited_and_released(serve):
    """A download over the limit gets 429 with Retry-After; an aborted one frees its slot."""
    settings = WeightsSettings(port=0, bytes_per_second=1_000_000, concurrent=1)
    client = serve(make_application(settings))
    replies = []

    def try_second_download(piece: bytes) -> int:
        if not replies:
            replies.append(HttpClient(client.base).call("GET", "/weights/m/1"))
        return -1

    try:
        HttpClient(client.base).call(
            "GET", "/weights/m/1?bytes=5000000", on_data=try_second_download
        )
    except Exception as error:
        assert type(error).__name__ == "IncompleteResponseError"
    assert replies[0].status == 429
    assert replies[0].headers["retry-after"] == "1"
    deadline = time.monotonic() + 5
    while client.call("GET", "/weights/m/1?bytes=1").status != 200:
        assert time.monotonic() < deadline
    assert client.call("GET", "/health").status == 200
