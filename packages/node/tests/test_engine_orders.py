"""Contract of the adapter of orders with the engine of docs/design/interfaces.md."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest
from werkzeug.serving import make_server

from carobspool_core import EngineOrder, EngineOrderKind, Fence, OrderFault
from carobspool_node.upstreams._engine_orders import http_engine_orders
from carobspool_standins._engine_settings import EngineSettings, LoadedModel
from carobspool_standins.engine import make_application

KEY = "prove-it"


@pytest.fixture
def url() -> Iterator[str]:
    """Serve an engine that checks fencing and who gives orders."""
    settings = EngineSettings(
        port=0,
        models=(LoadedModel(name="m", adapters=("a",)),),
        check_fence=True,
        order_key=KEY,
        model_load_ms=1.0,
    )
    server = make_server("127.0.0.1", 0, make_application(settings), threaded=True)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()


def test_state_and_orders(url: str) -> None:
    """Each kind of order is carried out and read back."""
    engine = http_engine_orders(url, key=KEY)
    orders = [
        EngineOrder(kind=EngineOrderKind.LOAD, model="n", version="2"),
        EngineOrder(kind=EngineOrderKind.ADAPTER, model="n", version="2", adapter="b"),
        EngineOrder(kind=EngineOrderKind.UNLOAD, model="m"),
        EngineOrder(kind=EngineOrderKind.ROLE, role="drain"),
    ]
    for number, order in enumerate(orders):
        engine.send_order(order, Fence(1, number + 1), timeout=5_000.0).unwrap()
    state = engine.read_state().unwrap()
    assert list(state.models) == ["n"]
    assert (state.models["n"].version, state.models["n"].adapters) == ("2", ("b",))
    assert (state.role, state.fence) == ("drain", Fence(1, 4))


def test_refusals_are_typed(url: str) -> None:
    """An old fence, a missing key and an engine that is gone are told apart."""
    engine = http_engine_orders(url, key=KEY)
    role = EngineOrder(kind=EngineOrderKind.ROLE, role="serve")
    engine.send_order(role, Fence(2, 1), timeout=5_000.0).unwrap()
    old = engine.send_order(role, Fence(1, 9), timeout=5_000.0).failure()
    assert (old.fault, old.fence) == (OrderFault.OLD_FENCE, Fence(2, 1))
    stranger = http_engine_orders(url)
    refused = stranger.send_order(role, Fence(3, 1), timeout=5_000.0).failure()
    assert refused.fault is OrderFault.FORBIDDEN
    gone = http_engine_orders("http://127.0.0.1:1")
    assert gone.read_state().failure().fault is OrderFault.UNREACHABLE
