"""What holds for every test: it leaves the process as it was for the next one."""

import signal
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def signal_mask_stays() -> Iterator[None]:
    """A blocked signal would also be blocked in every process that a later test starts."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    yield
    assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) == before
