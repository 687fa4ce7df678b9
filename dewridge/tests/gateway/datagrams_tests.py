"""The datagram socket between hosts."""

import trio

from dewridge.gateway.datagrams import MAX_BATCH, DatagramSocket, PacedSocket
from dewridge.policy.pacing import DatagramPacer

BURST = 195
"""Hosts of the largest fleet: as many answers as the holder of the duties gets at once
when it asks all hosts for their usage."""


async def test_answers_of_all_hosts_are_kept_during_a_pause_of_the_receiver() -> None:
    # The receiver pauses after each batch. Datagrams beyond the kernel's buffer are
    # lost, and usage that is lost again and again is missing from a bill.
    receiver = PacedSocket("127.0.0.1", 0, DatagramPacer(1e9))
    sender = DatagramSocket()
    await receiver.bind()
    address = receiver._socket._socket.getsockname()
    try:
        for number in range(BURST):
            sender.sendto(b"%4d" % number + b"x" * 600, address)
        received: list[int] = []
        while len(received) < BURST:
            with trio.fail_after(1.0):
                await receiver.wait_for_input()
            batch = receiver.receive_batch()
            assert 0 < len(batch) <= MAX_BATCH
            received += [int(data[:4]) for data, _ in batch]
        assert received == list(range(BURST))
        assert receiver.receive_batch() == []
    finally:
        sender.close()
        receiver.close()
