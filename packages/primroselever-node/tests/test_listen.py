from __future__ import annotations

import pytest

from primroselever_node.exceptions import ListenError
from primroselever_node.listen import listen


def test_listening_twice_on_the_same_address_raises_an_error() -> None:
    first = listen("127.0.0.1", 0)
    port = first.getsockname()[1]
    first.close()
    first = listen("127.0.0.1", port)

    with pytest.raises(ListenError, match=f"127.0.0.1:{port}"):
        listen("127.0.0.1", port)
    first.close()
