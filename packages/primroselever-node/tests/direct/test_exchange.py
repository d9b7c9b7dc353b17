"""What may come on a connection to a back end, and what is made of it."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_node import clock
from primroselever_node.direct.connection_pool import ConnectionPool, idle_seconds
from primroselever_node.direct.exchange import (
    BrokenExchangeError,
    ConnectError,
    DamagedAnswerError,
    HttpConnection,
    SilentError,
)

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"


def ask(server, request_id: bytes = b"r1", wait_s: float = 1.0):
    deadline = clock.now() + wait_s
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    head = connection.read_head(deadline, request_id, b"request-id")
    return connection, head, connection.read_body(deadline)


def test_a_whole_answer_is_read_and_its_connection_kept(server):
    server.script = [OK]
    connection, head, body = ask(server)
    assert (head.status_code, body) == (200, b"ok")
    assert connection.finish(1.0)


def test_bytes_behind_an_answer_end_the_connection(server):
    server.script = [OK + OK]
    connection, _head, _body = ask(server)
    assert not connection.finish(1.0)


def test_an_extra_answer_to_an_earlier_request_is_passed_over(server):
    server.script = [OK.replace(b"r1", b"r0").replace(b"ok", b"no") + OK]
    connection, head, body = ask(server)
    assert (head.status_code, body) == (200, b"ok")
    assert not connection.finish(1.0)


def test_an_answer_without_length_ends_with_its_connection(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"]
    server.close = True
    assert ask(server)[2] == b"whole"


def test_an_answer_without_length_that_is_reset_is_not_whole(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf"]
    server.reset = True
    with pytest.raises(BrokenExchangeError):
        ask(server)


def test_an_answer_that_ends_before_its_length_is_not_whole(server):
    server.script = [OK[:-1]]
    server.close = True
    with pytest.raises(DamagedAnswerError):
        ask(server)


def test_what_is_no_answer_is_told(server):
    server.script = [b"garbage\r\n\r\n"]
    with pytest.raises(DamagedAnswerError):
        ask(server)


def test_a_silent_server_is_given_up_at_the_deadline(server):
    server.script = [b""]
    with pytest.raises(SilentError):
        ask(server, wait_s=0.05)


def test_a_port_without_a_listener_means_that_nothing_was_sent(server):
    server.socket.close()
    with pytest.raises(ConnectError):
        ask(server)


def test_an_interrupted_connection_wakes_who_waits(server):
    server.script = [b""]
    deadline = clock.now() + 5
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    eventlet.spawn_after(0.02, connection.interrupt)
    with pytest.raises(BrokenExchangeError):
        connection.read_head(deadline, b"r1", b"request-id")
    connection.abort()


def test_a_kept_connection_is_used_again_only_for_the_same_server(server):
    pool = ConnectionPool()
    server.script = [OK, OK]
    connection, _head, _body = ask(server)
    pool.give_back("a", connection, 1.0)
    deadline = clock.now() + 1
    assert pool.take("b", server.address, deadline, 60.0) is not connection
    assert pool.take("a", server.address, deadline, 60.0) is connection


def test_a_connection_that_idled_is_not_used_for_what_must_run_once(server):
    pool = ConnectionPool()
    server.script = [OK]
    connection, _head, _body = ask(server)
    pool.give_back("a", connection, 10.0)
    connection.used_at -= 1.0
    deadline = clock.now() + 1
    assert pool.take("a", server.address, deadline, 0.5) is not connection
    assert pool.take("a", server.address, deadline, 60.0) is connection


def test_a_connection_that_the_server_closed_is_not_used(server):
    pool = ConnectionPool()
    server.script = [OK]
    server.close = True
    connection, _head, _body = ask(server)
    pool.give_back("a", connection, 10.0)
    eventlet.sleep(0.02)
    assert pool.take("a", server.address, clock.now() + 1, 60.0) is not connection


def test_connections_to_servers_that_are_gone_are_closed(server):
    pool = ConnectionPool()
    server.script = [OK]
    connection, _head, _body = ask(server)
    pool.give_back("a", connection, 10.0)
    pool.keep_only({"b"})
    assert not pool.idle


def test_the_idle_time_is_that_of_the_server_less_a_margin():
    assert idle_seconds(b"timeout=5, max=100") == 4.5
    assert idle_seconds(b"timeout=0") == 0.0
    assert idle_seconds(b"") > 0
